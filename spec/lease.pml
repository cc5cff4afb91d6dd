/*
 * Leases on a primary, and the replacement of the primary by the leader of the
 * fleet.
 *
 * The store keeps one record: the leader's token, the epoch of one group, and
 * whether the group is moving. A VM uses the primary of the epoch that it knows
 * while its lease lasts. Time passes in ticks. The leader grants a lease for the
 * rest of LEASE, counted from its last proof of leadership by a call to the store.
 * A VM can also get a lease by reading the record itself. To replace the primary
 * the leader writes that the group is moving, waits until each VM has adopted that
 * or can't hold a lease any longer, reads the record once more, and orders the
 * promotion within ORDER. The order may arrive LATE ticks later. Another VM may
 * take leadership over at any moment, and leaders may pause between any two steps.
 *
 * Checked: no VM accepts an answer of the old primary as final after a promotion
 * has taken effect, and the tokens of promotions never decrease in the order in
 * which the promotions arrive.
 *
 * Mutants that must be rejected:
 *   NOWAIT      promotes at once.
 *   FROMANSWER  counts a lease from the arrival of the answer.
 *   NOCHECK     doesn't check the lease again when the primary has answered.
 *   NOPROOF     grants leases without a proof of leadership.
 *   STALETOKEN  orders without reading the record again.
 *   NOSETTLE    orders at once after a takeover.
 */
#define LEASE 2
#define ORDER 1
#define LATE 1
#ifndef MAXT
#define MAXT 5
#endif
#define H 2 /* VMs that may lead */

byte now;

/* the store */
byte token;      /* of the leader: VM h leads if hasT[h] == token */
byte epoch;
bool moving;

/* the VMs that lead or have led */
byte hasT[H];    /* token of the last claim; zero for none */
byte proved[H];  /* start of the last call that proved leadership */
byte claimed[H]; /* time of the claim */
byte intentAt[H]; /* time of the write that marks the group as moving, or of the claim */
bool intends[H]; /* the leader is replacing the primary */
bool ready[H];   /* the wait has ended */
byte read[H];    /* time of the last read before the order */
bool checked[H]; /* the record was read again and still names this leader */
bool ordered[H]; /* an order is in flight */
byte orderT[H];  /* token of the order */
byte orderAt[H]; /* time of the order */

/* VM 0, which uses the primary */
bool vMoving;
byte vToken;
byte until_;     /* end of its lease; zero for none */
/* its request for a lease, and the answer */
bool asking; byte askedAt; bool answer; byte ansToken; bool ansMoving; byte ansUntilLen;
bool using;      /* a request to the primary is in flight */
bool hasAnswer;

/* the primary */
byte lead;       /* epoch whose primary leads; 2 once the promotion has taken effect */
byte highest;    /* token of the newest promotion */
byte h; /* scratch variable, zero between steps */

#define HOLDS (until_ > now && !vMoving)

#ifdef NOWAIT
#define WAITED true
#else
#define WAITED (now >= intentAt[h] + LEASE && now >= claimed[h] + LEASE || vToken == hasT[h] && vMoving)
#endif
#ifdef STALETOKEN
#define CURRENT true
#else
#define CURRENT (hasT[h] == token)
#endif
#ifdef NOSETTLE
#define SETTLED true
#else
#define SETTLED (hasT[h] == 1 || now > claimed[h] + ORDER + LATE)
#endif
#ifdef FROMANSWER
#define START now
#else
#define START askedAt
#endif
#ifdef NOCHECK
#define CHECKED true
#else
#define CHECKED HOLDS
#endif
#ifdef NOPROOF
#define LEFT LEASE
#else
#define LEFT (proved[h] + LEASE > now -> proved[h] + LEASE - now : 0)
#endif

/* sets h to one of the VMs that may lead */
inline chooseVM() {
	if
	:: h = 0
	:: h = 1
	fi
}

active proctype protocol() {
	atomic { token = 1; hasT[0] = 1; epoch = 1; lead = 1 }
	do
	/* time passes; an order in flight arrives within LATE */
	:: atomic { now < MAXT && !(ordered[0] && now >= orderAt[0] + LATE) && !(ordered[1] && now >= orderAt[1] + LATE) -> now++ }

	/* a VM takes leadership over by a conditional write of the record */
	:: atomic { chooseVM();
		if
		:: hasT[h] != token && token < 2 ->
			token++; hasT[h] = token; proved[h] = now; claimed[h] = now;
			intends[h] = moving; intentAt[h] = now; ready[h] = false; checked[h] = false
		:: else
		fi; h = 0 }

	/* the leader proves its leadership */
	:: atomic { chooseVM();
		if :: hasT[h] == token && hasT[h] > 0 -> proved[h] = now :: else fi; h = 0 }

	/* the leader writes that the group is moving, if the record still names it */
	:: atomic { chooseVM();
		if
		:: hasT[h] == token && hasT[h] > 0 && !moving && epoch < 2 ->
			moving = true; intends[h] = true; intentAt[h] = now; proved[h] = now; ready[h] = false; checked[h] = false
		:: else
		fi; h = 0 }

	/* the wait of the leader ends */
	:: atomic { chooseVM();
		if
		:: hasT[h] > 0 && intends[h] && !ready[h] && WAITED -> ready[h] = true
		:: else
		fi; h = 0 }

	/* the leader reads the record again */
	:: atomic { chooseVM();
		if
		:: ready[h] && !checked[h] && CURRENT && SETTLED -> checked[h] = true; read[h] = now
		:: else
		fi; h = 0 }

	/* the leader orders the promotion, unless its last read is too old */
	:: atomic { chooseVM();
		if
		:: checked[h] && !ordered[h] ->
			if
			:: now <= read[h] + ORDER -> ordered[h] = true; orderT[h] = hasT[h]; orderAt[h] = now; checked[h] = false; read[h] = 0
			:: else -> checked[h] = false; read[h] = 0
			fi
		:: else
		fi; h = 0 }

	/* the order arrives and takes effect */
	:: atomic { chooseVM();
		if
		:: ordered[h] ->
			ordered[h] = false; orderAt[h] = 0;
			assert(orderT[h] >= highest);
			highest = orderT[h]; orderT[h] = 0; lead = 2
		:: else
		fi; h = 0 }

	/* the VM requests a lease, and a current or former leader answers */
	:: atomic { !asking && !answer -> asking = true; askedAt = now }
	:: atomic { asking && !answer -> chooseVM();
		if
		:: hasT[h] > 0 ->
			ansUntilLen = LEFT;
			answer = true; ansToken = hasT[h];
			ansMoving = intends[h]
		:: else
		fi; h = 0 }
	:: atomic { answer ->
		if
		:: ansToken >= vToken && ansUntilLen > 0 ->
			if
			:: ansToken > vToken || ansMoving && !vMoving -> until_ = 0
			:: else
			fi;
			if
			:: ansToken > vToken -> vMoving = ansMoving
			:: else -> vMoving = vMoving || ansMoving
			fi;
			vToken = ansToken;
			if :: START + ansUntilLen > until_ -> until_ = START + ansUntilLen :: else fi
		:: else
		fi;
		answer = false; asking = false; ansUntilLen = 0; askedAt = 0; ansToken = 0; ansMoving = false }
	:: atomic { asking -> asking = false; answer = false; ansUntilLen = 0; askedAt = 0; ansToken = 0; ansMoving = false }

	/* the VM reads the record itself; the read is instantaneous */
	:: atomic { token >= vToken ->
		if
		:: token > vToken || moving && !vMoving -> until_ = 0
		:: else
		fi;
		vToken = token; vMoving = moving;
		if :: now + LEASE > until_ -> until_ = now + LEASE :: else fi }

	/* the VM uses the primary of its epoch */
	:: atomic { !using && HOLDS -> using = true }
	:: atomic { using && !hasAnswer -> hasAnswer = true }
	:: atomic { using && hasAnswer ->
		if
		:: CHECKED -> assert(lead == 1) /* the answer is final: no promotion may have taken effect */
		:: else
		fi;
		using = false; hasAnswer = false }
	:: now == MAXT -> break
	od
}
