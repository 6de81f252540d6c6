package org.pomelohollow.wire;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * JSON body of the announcement that a target sends to its daemon.
 *
 * @param service name of the service that the target runs
 * @param address address at which the target accepts requests, as {@code address:port}
 * @param instance identifier of this incarnation of the target
 * @param slots maximum number of requests in flight
 * @param connections maximum number of connections
 * @param cold whether the target is in cold start
 * @param load utilization of the target from 0 to 1; 0 if unknown
 */
public record AnnouncementBody(
    @JsonProperty(required = true) String service,
    @JsonProperty(required = true) String address,
    @JsonProperty(required = true) String instance,
    @JsonProperty(required = true) int slots,
    @JsonProperty(required = true) int connections,
    boolean cold,
    double load) {}
