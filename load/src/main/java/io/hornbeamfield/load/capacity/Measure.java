package io.hornbeamfield.load.capacity;

import io.hornbeamfield.load.capacity.Slope.Point;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;

/** Measures one quantity at several sizes. */
final class Measure {
    private static final int REPEATS = 5;
    private static final int GC_ROUNDS = 3;

    private Measure() {}

    /** Measures the heap that the built object keeps, in bytes. */
    static Slope heap(String quantity, List<Long> sizes, LongFunction<Object> build) {
        List<Point> points = new ArrayList<>();
        // The first build loads classes, which would be counted to the smallest size.
        Reference.reachabilityFence(build.apply(sizes.get(0)));
        for (long size : sizes) {
            long before = usedAfterGc();
            Object kept = build.apply(size);
            long after = usedAfterGc();
            points.add(new Point(size, Math.max(0, after - before)));
            Reference.reachabilityFence(kept);
        }
        return Slope.fit(quantity, "bytes of heap", points);
    }

    /** Measures the processor time of one pass, in microseconds, as the median of several repeats. */
    static <T> Slope cpu(String quantity, List<Long> sizes, LongFunction<T> build, ToDoubleFunction<T> pass) {
        List<Point> points = new ArrayList<>();
        for (long size : sizes) {
            T subject = build.apply(size);
            points.add(new Point(size, medianMicros(subject, pass)));
        }
        return Slope.fit(quantity, "us of processor time", points);
    }

    /** Measures a size in bytes. */
    static Slope bytes(String quantity, List<Long> sizes, LongFunction<byte[]> encode) {
        List<Point> points = sizes.stream()
                .map(size -> new Point(size, encode.apply(size).length))
                .toList();
        return Slope.fit(quantity, "bytes", points);
    }

    private static <T> double medianMicros(T subject, ToDoubleFunction<T> pass) {
        var threads = ManagementFactory.getThreadMXBean();
        double sink = 0;
        long warmUntil = System.nanoTime() + 200_000_000L;
        while (System.nanoTime() < warmUntil) {
            sink += pass.applyAsDouble(subject);
        }
        List<Double> micros = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            long start = threads.getCurrentThreadCpuTime();
            int rounds = 0;
            long until = System.nanoTime() + 50_000_000L;
            while (System.nanoTime() < until) {
                sink += pass.applyAsDouble(subject);
                rounds++;
            }
            micros.add((threads.getCurrentThreadCpuTime() - start) / 1e3 / Math.max(1, rounds));
        }
        if (Double.isNaN(sink)) {
            throw new IllegalStateException("A measured pass returned no number.");
        }
        return micros.stream().sorted().toList().get(REPEATS / 2);
    }

    private static long usedAfterGc() {
        var memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < GC_ROUNDS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
