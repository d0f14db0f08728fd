package io.hornbeamfield.client.internal;

/** A router of an address answer. */
record Router(String incarnation, String address, String zone) {}
