package org.pomelohollow.document;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * The whole arrangement that operators publish, as one immutable value. Names that entries refer to
 * exist; {@link DocumentReader} reports the ones that don't.
 *
 * @param name name of the deployment
 * @param priorities names of the priorities, the most important first
 * @param zones availability zones by name
 * @param accounts client accounts by name
 * @param keys keys in the order of the document
 * @param services services by name
 * @param routes routes, the ones that take precedence first
 */
public record Document(
    String name,
    List<String> priorities,
    Map<ZoneId, ZoneEntry> zones,
    Map<AccountId, AccountEntry> accounts,
    List<KeyEntry> keys,
    Map<ServiceId, ServiceEntry> services,
    List<RouteEntry> routes) {

  /** Copies the collections. */
  public Document {
    Objects.requireNonNull(name, "name");
    priorities = List.copyOf(priorities);
    zones = Map.copyOf(zones);
    accounts = Map.copyOf(accounts);
    keys = List.copyOf(keys);
    services = Map.copyOf(services);
    routes = List.copyOf(routes);
  }

  /**
   * Tells whether a zone may get new work.
   *
   * @param zone a zone, not null
   * @return true if the document has the zone in service
   */
  public boolean isInService(ZoneId zone) {
    ZoneEntry e = zones.get(zone);
    return e != null && e.inService();
  }
}
