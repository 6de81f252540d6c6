/** Tests of the connections of callers. */
package org.pomelohollow.daemon.internal.http;
