package io.hornbeamfield.core.budget;

/** Tokens of an allotment that are set aside for one attempt at a backend server. */
public record Reservation(String budget, long id, long tokens) {}
