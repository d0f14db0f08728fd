package io.hornbeamfield.core.budget;

/** Tokens that one router transfers to another. The id is that of the receiver's transfer request. */
public record TransferGrant(String transferId, String budget, long tokens) {}
