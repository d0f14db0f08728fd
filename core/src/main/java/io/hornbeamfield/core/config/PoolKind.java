package io.hornbeamfield.core.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of the backend servers of a pool. */
public enum PoolKind {
    @JsonProperty("model")
    MODEL,
    @JsonProperty("service")
    SERVICE
}
