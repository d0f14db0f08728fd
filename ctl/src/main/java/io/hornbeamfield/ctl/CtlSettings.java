package io.hornbeamfield.ctl;

import java.util.Optional;

/**
 * Settings of hornbeamctl: the address of the platform, its token and, for {@code dump} and {@code status}, the
 * operator token of the routers' admin ports.
 */
public record CtlSettings(String platformAddress, String platformToken, Optional<String> operatorToken) {}
