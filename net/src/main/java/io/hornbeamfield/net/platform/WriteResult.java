package io.hornbeamfield.net.platform;

import java.util.Optional;

/** Outcome of a conditional update. */
public sealed interface WriteResult {
    /** The update was applied and produced the given version. */
    record Applied(long version) implements WriteResult {}

    /** The object has a different version; holds the current object, or is empty if there is none. */
    record Conflict(Optional<VersionedValue> current) implements WriteResult {}

    /** The update was definitely not applied: it was not sent, or it was rejected. */
    record NotApplied(String reason) implements WriteResult {}

    /** The update may have been applied: no conclusive response arrived. */
    record Unknown(String reason) implements WriteResult {}
}
