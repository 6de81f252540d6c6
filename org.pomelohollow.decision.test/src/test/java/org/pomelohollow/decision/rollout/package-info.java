/** Tests of version upgrades under observation. */
package org.pomelohollow.decision.rollout;
