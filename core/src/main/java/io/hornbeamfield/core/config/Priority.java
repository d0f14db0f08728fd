package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Priority of a request, from the first to be served to the first to be shed. */
public enum Priority {
    @JsonProperty("high")
    HIGH,
    @JsonProperty("normal")
    NORMAL,
    @JsonProperty("low")
    LOW;

    /** Returns whether this priority is at least as urgent as the other. */
    public boolean atLeast(Priority other) {
        return ordinal() <= other.ordinal();
    }
}
