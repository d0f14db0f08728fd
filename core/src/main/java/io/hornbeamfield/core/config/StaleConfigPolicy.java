package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a router handles new requests while its configuration is stale. */
public enum StaleConfigPolicy {
    @JsonProperty("serve")
    SERVE,
    @JsonProperty("refuse")
    REFUSE
}
