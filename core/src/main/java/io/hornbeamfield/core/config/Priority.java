package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Priority of a request. Higher priorities are served first; lower priorities are shed first. */
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
