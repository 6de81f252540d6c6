/** Tests of inbound HTTP connections. */
package org.pomelohollow.daemon.internal.http;
