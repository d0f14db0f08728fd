package io.hornbeamfield.load;

import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/** How the rate of requests changes over a run. The factor is applied to the rate, at a time from 0 to 1. */
@SuppressWarnings("ImmutableEnumChecker")
public enum Profile {
    /** The same rate all the time. */
    STEADY(t -> 1),
    /** From nothing to the whole rate. */
    RAMP(t -> t),
    /** Five times the rate in each tenth part of every fifth. */
    BURST(t -> (t * 5) % 1 < 0.1 ? 5 : 1),
    /** Twice the rate in the middle third, to measure goodput in overload and the recovery from it. */
    OVERLOAD(t -> t >= 1.0 / 3 && t < 2.0 / 3 ? 2 : 1);

    private final DoubleUnaryOperator factor;

    Profile(DoubleUnaryOperator factor) {
        this.factor = factor;
    }

    /** Returns the factor at a time between 0 and 1. */
    public double factorAt(double time) {
        return factor.applyAsDouble(time);
    }

    /** Returns the largest factor. */
    public double maxFactor() {
        return this == BURST ? 5 : this == OVERLOAD ? 2 : 1;
    }

    /** Returns the profile with the given name, whatever its case. */
    public static Profile named(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
