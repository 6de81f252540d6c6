/** Stand-in for a target, with faults on request. */
package org.pomelohollow.standin.target;
