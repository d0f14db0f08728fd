package io.hornbeamfield.core.budget;

/** Tokens that one router gives to another. The id is the one of the receiver's request. */
public record TransferGrant(String transferId, String budget, long tokens) {}
