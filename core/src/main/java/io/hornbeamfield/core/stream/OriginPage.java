package io.hornbeamfield.core.stream;

import java.util.List;
import java.util.Optional;

/**
 * A part of the origins that an instance keeps in the store, so that they outlive the loss of all instances.
 *
 * @param sequence number of this page among those of its instance, from 1
 */
public record OriginPage(long sequence, List<KeptStream> streams) {
    public OriginPage {
        streams = List.copyOf(streams);
    }

    /**
     * A stream and its origin.
     *
     * @param versions the version that began it; none if several streams have the same id
     */
    public record KeptStream(String workspace, String attemptId, String service, List<String> versions) {
        public KeptStream {
            versions = List.copyOf(versions);
        }

        static KeptStream of(StreamId id, StreamOrigin origin) {
            return new KeptStream(
                    id.workspace(),
                    id.attemptId(),
                    origin.service(),
                    origin.version().stream().toList());
        }

        /** Returns the id of the stream. */
        public StreamId id() {
            return new StreamId(workspace, attemptId);
        }

        /** Returns the origin of the stream. */
        public StreamOrigin origin() {
            return new StreamOrigin(service, versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty());
        }
    }
}
