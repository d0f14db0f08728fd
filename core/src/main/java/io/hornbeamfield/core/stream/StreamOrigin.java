package io.hornbeamfield.core.stream;

import java.util.Optional;

/**
 * What is remembered of the beginning of a stream.
 *
 * @param service service that produced its first event
 * @param version software version of the server that produced it; empty if several streams with different origins have
 *     the same id, so that it is not certain which one a caller means
 */
public record StreamOrigin(String service, Optional<String> version) {

    /** Returns the origin of a stream that a server of the given version began. */
    public static StreamOrigin of(String service, String version) {
        return new StreamOrigin(service, Optional.of(version));
    }

    /** Returns the origin after another stream of the same id has been seen. */
    StreamOrigin and(StreamOrigin other) {
        return equals(other) ? this : new StreamOrigin(service, Optional.empty());
    }
}
