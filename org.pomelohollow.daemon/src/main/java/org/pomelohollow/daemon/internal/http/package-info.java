/** HTTP towards callers, targets and operators. */
package org.pomelohollow.daemon.internal.http;
