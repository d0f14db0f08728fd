/** Client library for sending requests to a router fleet. */
@NullMarked
package io.hornbeamfield.client;

import org.jspecify.annotations.NullMarked;
