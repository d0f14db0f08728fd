package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the backend servers of a pool are. */
public enum PoolKind {
    @JsonProperty("model")
    MODEL,
    @JsonProperty("service")
    SERVICE
}
