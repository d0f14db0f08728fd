package io.hornbeamfield.router.traffic.internal;

/** One chunk of a model answer. The offset counts tokens from 0. */
record Chunk(long offset, String content) {}
