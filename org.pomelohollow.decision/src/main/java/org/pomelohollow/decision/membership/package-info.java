/** Membership: joins, heartbeats, leaves and the roster of live members. */
package org.pomelohollow.decision.membership;
