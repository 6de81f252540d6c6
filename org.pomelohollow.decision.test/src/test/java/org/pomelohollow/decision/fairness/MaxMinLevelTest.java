package org.pomelohollow.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a level that gives out more or less than the capacity, or cuts small demands. */
class MaxMinLevelTest {
  @Test
  void capacityIsUsedUpAndNoDemandBelowTheLevelIsCut() {
    SplittableRandom random = new SplittableRandom(3);
    for (int run = 0; run < 500; run++) {
      List<MaxMinLevel.Share> shares = new ArrayList<>();
      for (int i = 0; i <= random.nextInt(30); i++) {
        shares.add(new MaxMinLevel.Share(random.nextDouble() * 50, 0.5 + random.nextDouble()));
      }
      MaxMinLevel m = new MaxMinLevel(shares);
      double capacity = random.nextDouble() * m.total();
      double level = m.level(capacity);
      double given =
          shares.stream().mapToDouble(s -> Math.min(s.demand(), level * s.weight())).sum();
      assertEquals(capacity, given, 1e-6 * m.total());
    }
  }

  @Test
  void unusedShareGoesToTheOthers() {
    MaxMinLevel m =
        new MaxMinLevel(
            List.of(
                new MaxMinLevel.Share(70, 1),
                new MaxMinLevel.Share(10, 1),
                new MaxMinLevel.Share(1, 1)));
    assertEquals(29, m.level(40), 1e-9);
  }

  @Test
  void nothingIsCutWhileTheCapacityCoversAll() {
    MaxMinLevel m = new MaxMinLevel(List.of(new MaxMinLevel.Share(7, 1)));
    assertTrue(Double.isInfinite(m.level(7)));
    assertEquals(0, m.level(0));
    assertTrue(Double.isInfinite(new MaxMinLevel(List.of()).level(0)));
  }
}
