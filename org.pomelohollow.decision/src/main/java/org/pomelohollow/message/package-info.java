/** Base types of the messages between daemons and of the entries of the platform log. */
package org.pomelohollow.message;
