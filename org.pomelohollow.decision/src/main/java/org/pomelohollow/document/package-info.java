/** The configuration document: its records, its TOML reader and its checks. */
package org.pomelohollow.document;
