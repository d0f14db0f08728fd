package io.hornbeamfield.core.budget;

/** Tokens of an allotment that are reserved for one attempt at a backend server. */
public record Reservation(String budget, long id, long tokens) {}
