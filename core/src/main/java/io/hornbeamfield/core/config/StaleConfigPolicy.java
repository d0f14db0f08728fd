package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a router does with new requests while it cannot confirm its configuration. */
public enum StaleConfigPolicy {
    @JsonProperty("serve")
    SERVE,
    @JsonProperty("refuse")
    REFUSE
}
