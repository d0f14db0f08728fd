package io.hornbeamfield.standins.platform.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** An object as the API shows it. */
public record StoredObject(String key, long version, JsonNode value) {}
