package io.hornbeamfield.core.discovery;

import io.hornbeamfield.core.routing.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the instances whose health an instance checks. In a small fleet each instance checks all others. In a large
 * fleet each checks a few, selected by rendezvous hashing so that they spread over all zones, and removes the
 * registration of an instance that does not answer.
 *
 * <p>Limits the load of the checks: if 86 instances all checked each other, that would be 7,310 calls per second.
 */
public final class CheckedInstances {
    /**
     * Most instances that one instance checks; on average as many check it. If an instance and all of its checkers fail
     * together, the failure is detected once the registrations of the checkers are gone and others check the instance.
     */
    private static final int MAX_CHECKED = 12;

    /**
     * If more than this share of the checked instances does not answer, the checking instance is probably partitioned.
     */
    private static final double MAX_SILENT_SHARE = 0.5;

    private CheckedInstances() {}

    /** Returns whether there are too many other instances for each instance to check all of them. */
    public static boolean isLargeFleet(int others) {
        return others > MAX_CHECKED;
    }

    /**
     * Returns whether the checking instance probably causes the silence itself: it is partitioned, or its own link is
     * full, so that answers arrive too late.
     *
     * @param silent number of checked instances that do not answer
     * @param others number of other registered instances
     * @param linkFull whether the link of the checking instance is full
     */
    public static boolean isProbablyAtFault(int silent, int others, boolean linkFull) {
        return linkFull || silent > MAX_SILENT_SHARE * Math.min(MAX_CHECKED, others);
    }

    /** Returns the names of the instances that the given instance checks. */
    public static Set<String> of(String self, Collection<String> others) {
        return others.stream()
                .sorted(Comparator.comparingLong((String o) -> -Rendezvous.weight(self, o)))
                .limit(MAX_CHECKED)
                .collect(Collectors.toUnmodifiableSet());
    }
}
