package org.pomelohollow.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the daemons' event loops in this process. */
final class EventLoopTime {
  private static final String PREFIX = "pomelohollow-";

  private EventLoopTime() {}

  /** Returns the processor time that all daemons' event loops have used, in nanoseconds. */
  static long nanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      var info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith(PREFIX)) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
