package io.hornbeamfield.standins.service;

/** The POST calls with one key, workspace and path. The key is empty for calls without one. */
public record ServiceRecord(String key, String workspace, String path, int count, long firstMs, long lastMs) {}
