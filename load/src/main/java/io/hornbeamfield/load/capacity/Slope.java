package io.hornbeamfield.load.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes, with the least-squares line through the points. The relative error is the
 * largest distance of a point from the line, as a share of the point's value.
 */
public record Slope(String quantity, String unit, List<Point> points, double perItem, double base, double maxError) {

    /** A measured value at one size. */
    public record Point(long size, double value) {}

    /** Fits a line. */
    public static Slope fit(String quantity, String unit, List<Point> points) {
        double meanSize = points.stream().mapToLong(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point p : points) {
            covariance += (p.size() - meanSize) * (p.value() - meanValue);
            variance += (p.size() - meanSize) * (p.size() - meanSize);
        }
        double perItem = covariance / variance;
        double base = meanValue - perItem * meanSize;
        double error = points.stream()
                .mapToDouble(p -> Math.abs(p.value() - (base + perItem * p.size())) / Math.max(p.value(), 1e-9))
                .max()
                .orElseThrow();
        return new Slope(quantity, unit, List.copyOf(points), perItem, base, error);
    }

    /** Returns the value of the line at the given size. */
    public double at(long size) {
        return base + perItem * size;
    }
}
