/** Test helpers: injected time and recorded effects. */
package org.pomelohollow.junit;
