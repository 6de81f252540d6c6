/** Value types shared by all modules: names, priorities, verdicts and request contexts. */
package org.pomelohollow.model;
