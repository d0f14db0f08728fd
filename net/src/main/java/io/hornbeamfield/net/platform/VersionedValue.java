package io.hornbeamfield.net.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** An object stored by the platform, with the version that a conditional update must state. */
public record VersionedValue(String key, long version, JsonNode value) {}
