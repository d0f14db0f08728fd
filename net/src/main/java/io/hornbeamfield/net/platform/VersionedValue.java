package io.hornbeamfield.net.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** An object of the platform with the version that a conditional update must name. */
public record VersionedValue(String key, long version, JsonNode value) {}
