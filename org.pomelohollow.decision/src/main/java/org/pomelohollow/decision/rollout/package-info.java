/** Version upgrades of a service under observation: orders, judgement, traffic shares, verdicts. */
package org.pomelohollow.decision.rollout;
