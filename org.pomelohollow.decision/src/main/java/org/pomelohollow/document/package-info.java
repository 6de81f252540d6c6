/** The configuration document: its records, its TOML reader and its validation. */
package org.pomelohollow.document;
