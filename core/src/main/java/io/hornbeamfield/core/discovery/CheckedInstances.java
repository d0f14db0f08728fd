package io.hornbeamfield.core.discovery;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which other instances an instance checks. In a small fleet each one checks all others. In a large one each checks a
 * few, chosen by a hash so that they lie in all zones, and removes the registration of one that does not answer.
 *
 * <p>Answers the load pattern of 86 instances: checks of all by all are 7,310 calls a second.
 */
public final class CheckedInstances {
    /**
     * Most instances that one checks. On average as many check each instance. One whose checkers are all lost with it
     * is noticed when their registrations are gone and others check it.
     */
    private static final int MOST = 12;

    /** If more than this share of the checked instances is silent, the instance that checks is probably cut off. */
    private static final double MAX_SILENT_SHARE = 0.5;

    private CheckedInstances() {}

    /** Returns whether the others are too many to be checked by each instance. */
    public static boolean isLargeFleet(int others) {
        return others > MOST;
    }

    /** Returns whether an instance whose checks get no answer is probably the one that cannot be reached. */
    public static boolean isProbablyPartitioned(int silent, int others) {
        return silent > MAX_SILENT_SHARE * Math.min(MOST, others);
    }

    /** Returns the names of the instances that one checks. */
    public static Set<String> of(String self, Collection<String> others) {
        return others.stream()
                .sorted(Comparator.comparingLong((String o) -> -Rendezvous.weight(self, o)))
                .limit(MOST)
                .collect(Collectors.toUnmodifiableSet());
    }
}
