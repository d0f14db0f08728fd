/** Request execution, attempts at backend servers, answers, and relaying between routers. */
@NullMarked
package io.hornbeamfield.router.traffic.internal;

import org.jspecify.annotations.NullMarked;
