package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.stream.OriginLookup;
import io.hornbeamfield.core.stream.StreamId;
import io.hornbeamfield.core.stream.StreamOrigin;
import java.util.Optional;
import java.util.function.Consumer;

/** Remembers and finds out which versions began streams. Thread-safe. */
public interface StreamOrigins {
    /** Records the origin of a stream whose first event has been forwarded. */
    void begun(StreamId id, StreamOrigin origin);

    /** Returns what this instance knows itself; empty if it does not remember the stream. */
    Optional<OriginLookup.Result> remembered(StreamId id, String service);

    /** Finds out what the fleet knows. The action runs once, within half a second, on another thread. */
    void find(StreamId id, String service, Consumer<OriginLookup.Result> onResult);
}
