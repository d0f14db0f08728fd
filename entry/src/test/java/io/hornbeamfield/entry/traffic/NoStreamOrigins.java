package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.stream.OriginLookup;
import io.hornbeamfield.core.stream.StreamId;
import io.hornbeamfield.core.stream.StreamOrigin;
import java.util.Optional;
import java.util.function.Consumer;

/** Remembers no stream. */
final class NoStreamOrigins implements StreamOrigins {
    @Override
    public void begun(StreamId id, StreamOrigin origin) {
        // Nothing is remembered.
    }

    @Override
    public Optional<OriginLookup.Result> remembered(StreamId id, String service) {
        return Optional.empty();
    }

    @Override
    public void find(StreamId id, String service, Consumer<OriginLookup.Result> onResult) {
        onResult.accept(new OriginLookup.Result.Unknown());
    }
}
