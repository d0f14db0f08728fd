package io.hornbeamfield.core.admission.internal;

import io.hornbeamfield.core.admission.AdmissionCallback;
import io.hornbeamfield.core.admission.AdmissionRequest;
import java.time.Instant;
import java.util.Comparator;

/** A queued request. Entries are ordered by deadline, then by arrival. */
public record Entry(long sequence, AdmissionRequest request, AdmissionCallback callback, Instant submittedAt)
        implements Comparable<Entry> {
    private static final Comparator<Entry> ORDER =
            Comparator.comparing((Entry e) -> e.request().deadline()).thenComparingLong(Entry::sequence);

    @Override
    public int compareTo(Entry other) {
        return ORDER.compare(this, other);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Entry e && e.sequence == sequence;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(sequence);
    }
}
