package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether an instance takes new work. */
public enum ServerState {
    @JsonProperty("live")
    LIVE,
    @JsonProperty("leaving")
    LEAVING
}
