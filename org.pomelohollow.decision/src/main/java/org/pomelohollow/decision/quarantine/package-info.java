/**
 * Containment of requests that crash targets: suspects run one at a time on probation, and those
 * that go on crashing targets are refused in quarantine.
 */
package org.pomelohollow.decision.quarantine;
