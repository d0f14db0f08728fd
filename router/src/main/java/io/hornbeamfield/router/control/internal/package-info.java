/** The controllers. All of them run on one control thread. */
@NullMarked
package io.hornbeamfield.router.control.internal;

import org.jspecify.annotations.NullMarked;
