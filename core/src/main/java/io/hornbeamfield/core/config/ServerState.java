package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a backend server accepts new requests. */
public enum ServerState {
    @JsonProperty("live")
    LIVE,
    @JsonProperty("leaving")
    LEAVING
}
