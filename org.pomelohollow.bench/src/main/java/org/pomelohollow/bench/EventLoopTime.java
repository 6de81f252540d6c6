package org.pomelohollow.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Reads the processor time of the event loops of all daemons in this process. */
final class EventLoopTime {
  private static final String THREAD_NAME_PREFIX = "pomelohollow-";

  private EventLoopTime() {}

  /** Returns the processor time that the daemons' event loops have used so far, in nanoseconds. */
  static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      var info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith(THREAD_NAME_PREFIX)) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }
}
