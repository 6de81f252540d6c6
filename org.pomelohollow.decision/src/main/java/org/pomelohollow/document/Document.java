package org.pomelohollow.document;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * The complete, immutable configuration that operators publish. Every name that an entry refers to
 * is defined; {@link DocumentReader} rejects documents with undefined names.
 *
 * @param name name of the deployment
 * @param priorities names of the priorities, most important first
 * @param zones availability zones by name
 * @param accounts client accounts by name
 * @param apiKeys API keys in the order of the document
 * @param services services by name
 * @param routes routes in order of precedence, highest first
 * @param rollouts orders to move services to another version, by service
 */
public record Document(
    String name,
    List<String> priorities,
    Map<ZoneId, ZoneEntry> zones,
    Map<AccountId, AccountEntry> accounts,
    List<ApiKeyEntry> apiKeys,
    Map<ServiceId, ServiceEntry> services,
    List<RouteEntry> routes,
    Map<ServiceId, RolloutOrder> rollouts) {

  /** Creates a document with immutable copies of the collections. */
  public Document {
    Objects.requireNonNull(name, "name");
    priorities = List.copyOf(priorities);
    zones = Map.copyOf(zones);
    accounts = Map.copyOf(accounts);
    apiKeys = List.copyOf(apiKeys);
    services = Map.copyOf(services);
    routes = List.copyOf(routes);
    rollouts = Map.copyOf(rollouts);
  }

  /**
   * Creates a document without orders.
   *
   * @param name name of the deployment
   * @param priorities names of the priorities, most important first
   * @param zones availability zones by name
   * @param accounts client accounts by name
   * @param apiKeys API keys in the order of the document
   * @param services services by name
   * @param routes routes in order of precedence, highest first
   */
  public Document(
      String name,
      List<String> priorities,
      Map<ZoneId, ZoneEntry> zones,
      Map<AccountId, AccountEntry> accounts,
      List<ApiKeyEntry> apiKeys,
      Map<ServiceId, ServiceEntry> services,
      List<RouteEntry> routes) {
    this(name, priorities, zones, accounts, apiKeys, services, routes, Map.of());
  }

  /**
   * Returns whether an availability zone may receive new requests.
   *
   * @param zone the zone, not null
   * @return true if the document defines the zone and has it in service
   */
  public boolean isInService(ZoneId zone) {
    ZoneEntry e = zones.get(zone);
    return e != null && e.inService();
  }
}
