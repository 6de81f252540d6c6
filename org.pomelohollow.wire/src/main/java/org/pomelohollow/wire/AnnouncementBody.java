package org.pomelohollow.wire;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * JSON body of a target's announcement.
 *
 * @param service service that it runs
 * @param address where it takes requests, as {@code address:port}
 * @param instance identifier of this run of the target
 * @param slots most requests in flight
 * @param connections most connections
 * @param cold whether it is in cold start
 * @param load load from 0 to 1; 0 if not known
 */
public record AnnouncementBody(
    @JsonProperty(required = true) String service,
    @JsonProperty(required = true) String address,
    @JsonProperty(required = true) String instance,
    @JsonProperty(required = true) int slots,
    @JsonProperty(required = true) int connections,
    boolean cold,
    double load) {}
