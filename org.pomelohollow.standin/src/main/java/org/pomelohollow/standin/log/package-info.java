/** In-memory stand-in for the platform's append-only log, with fault injection. */
package org.pomelohollow.standin.log;
