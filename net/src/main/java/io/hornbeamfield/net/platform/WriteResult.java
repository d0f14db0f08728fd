package io.hornbeamfield.net.platform;

import java.util.Optional;

/** Outcome of a conditional update. */
public sealed interface WriteResult {
    /** The update took effect and made the given version. */
    record Applied(long version) implements WriteResult {}

    /** The object has another version; the current object is given unless it does not exist. */
    record Conflict(Optional<VersionedValue> current) implements WriteResult {}

    /** The update certainly did not take effect: it was not sent or was rejected. */
    record NotApplied(String reason) implements WriteResult {}

    /** The update may have taken effect: its answer did not arrive. */
    record Unknown(String reason) implements WriteResult {}
}
