package io.hornbeamfield.net.relay;

import java.util.List;
import java.util.Optional;

/** An HTTP header field. */
public record Header(String name, String value) {

    /** Returns the value of the first header with the given name, compared without regard to case. */
    public static Optional<String> find(List<Header> headers, String name) {
        for (Header h : headers) {
            if (h.name().equalsIgnoreCase(name)) {
                return Optional.of(h.value());
            }
        }
        return Optional.empty();
    }
}
