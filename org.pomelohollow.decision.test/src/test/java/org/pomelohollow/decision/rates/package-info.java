/** Tests of the rates that one home per account grants. */
package org.pomelohollow.decision.rates;
