package io.hornbeamfield.client.internal;

/** A router listed in the response to an address lookup. */
record Router(String incarnation, String address, String zone) {}
