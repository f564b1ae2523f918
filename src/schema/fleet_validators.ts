return false;
}
else {
if(data0.length < 1){
validate84.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data0}];
return false;
}
}
}
else {
validate84.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data1 = data.revision;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate84.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate84.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.active !== undefined){
let data2 = data.active;
const _errs7 = errors;
if(typeof data2 !== "boolean"){
validate84.errors = [{instancePath:instancePath+"/active",schemaPath:"#/properties/active/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema117.properties.active.type,parentSchema:schema117.properties.active,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.orderedAt !== undefined){
let data3 = data.orderedAt;
const _errs9 = errors;
if(!((typeof data3 == "number") && (isFinite(data3)))){
validate84.errors = [{instancePath:instancePath+"/orderedAt",schemaPath:"#/properties/orderedAt/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema117.properties.orderedAt.type,parentSchema:schema117.properties.orderedAt,data:data3}];
return false;
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate84.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema117.type,parentSchema:schema117,data}];
return false;
}
}
validate84.errors = vErrors;
return errors === 0;
}
validate84.evaluated = {"props":{"dataCentre":true,"revision":true,"active":true,"orderedAt":true},"dynamicProps":false,"dynamicItems":false};


function validate83(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate83.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
const _errs1 = errors;
if(!(validate84(data[i0], {instancePath:instancePath+"/" + i0,parentData:data,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate84.errors : vErrors.concat(validate84.errors);
errors = vErrors.length;
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
else {
validate83.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema116.type,parentSchema:schema116,data}];
return false;
}
}
validate83.errors = vErrors;
return errors === 0;
}
validate83.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate82(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate82.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.index === undefined) && (missing0 = "index"))){
validate82.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema113.required,parentSchema:schema113,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate82.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema113.properties.type.type,parentSchema:schema113.properties.type,data:data0}];
return false;
}
if("confirmed" !== data0){
validate82.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "confirmed"},message:"must be equal to constant",schema:"confirmed",parentSchema:schema113.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.index !== undefined){
let data1 = data.index;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate82.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate82.errors = [{instancePath:instancePath+"/index",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data2 = data.version;
const _errs6 = errors;
const _errs7 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate82.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs7){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate82.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.document !== undefined){
let data3 = data.document;
const _errs9 = errors;
if(typeof data3 !== "string"){
validate82.errors = [{instancePath:instancePath+"/document",schemaPath:"#/properties/document/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema113.properties.document.type,parentSchema:schema113.properties.document,data:data3}];
return false;
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.digest !== undefined){
let data4 = data.digest;
const _errs11 = errors;
if(typeof data4 !== "string"){
validate82.errors = [{instancePath:instancePath+"/digest",schemaPath:"#/properties/digest/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema113.properties.digest.type,parentSchema:schema113.properties.digest,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.evacuations !== undefined){
const _errs13 = errors;
if(!(validate83(data.evacuations, {instancePath:instancePath+"/evacuations",parentData:data,parentDataProperty:"evacuations",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate83.errors : vErrors.concat(validate83.errors);
errors = vErrors.length;
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate82.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema113.type,parentSchema:schema113,data}];
return false;
}
}
validate82.errors = vErrors;
return errors === 0;
}
validate82.evaluated = {"props":{"type":true,"index":true,"version":true,"document":true,"digest":true,"evacuations":true},"dynamicProps":false,"dynamicItems":false};

const schema120 = {"title":"ReplacedReply","type":"object","required":["type","verdict","version"],"properties":{"type":{"type":"string","const":"replaced"},"verdict":{"enum":["accepted","known","older","conflict"]},"version":{"$ref":"#/$defs/Count"}}};

function validate87(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate87.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.verdict === undefined) && (missing0 = "verdict"))) || ((data.version === undefined) && (missing0 = "version"))){
validate87.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema120.required,parentSchema:schema120,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate87.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema120.properties.type.type,parentSchema:schema120.properties.type,data:data0}];
return false;
}
if("replaced" !== data0){
validate87.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "replaced"},message:"must be equal to constant",schema:"replaced",parentSchema:schema120.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.verdict !== undefined){
let data1 = data.verdict;
const _errs3 = errors;
if(!((((data1 === "accepted") || (data1 === "known")) || (data1 === "older")) || (data1 === "conflict"))){
validate87.errors = [{instancePath:instancePath+"/verdict",schemaPath:"#/properties/verdict/enum",keyword:"enum",params:{allowedValues: schema120.properties.verdict.enum},message:"must be equal to one of the allowed values",schema:schema120.properties.verdict.enum,parentSchema:schema120.properties.verdict,data:data1}];
return false;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data2 = data.version;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate87.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate87.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate87.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema120.type,parentSchema:schema120,data}];
return false;
}
}
validate87.errors = vErrors;
return errors === 0;
}
validate87.evaluated = {"props":{"type":true,"verdict":true,"version":true},"dynamicProps":false,"dynamicItems":false};

const schema122 = {"title":"EvacuatedReply","type":"object","required":["type","verdict","revision"],"properties":{"type":{"type":"string","const":"evacuated"},"verdict":{"enum":["accepted","known","outdated"]},"revision":{"description":"In force about this data centre.","$ref":"#/$defs/Count"}}};

function validate88(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate88.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.verdict === undefined) && (missing0 = "verdict"))) || ((data.revision === undefined) && (missing0 = "revision"))){
validate88.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema122.required,parentSchema:schema122,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate88.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema122.properties.type.type,parentSchema:schema122.properties.type,data:data0}];
return false;
}
if("evacuated" !== data0){
validate88.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "evacuated"},message:"must be equal to constant",schema:"evacuated",parentSchema:schema122.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.verdict !== undefined){
let data1 = data.verdict;
const _errs3 = errors;
if(!(((data1 === "accepted") || (data1 === "known")) || (data1 === "outdated"))){
validate88.errors = [{instancePath:instancePath+"/verdict",schemaPath:"#/properties/verdict/enum",keyword:"enum",params:{allowedValues: schema122.properties.verdict.enum},message:"must be equal to one of the allowed values",schema:schema122.properties.verdict.enum,parentSchema:schema122.properties.verdict,data:data1}];
return false;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data2 = data.revision;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate88.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate88.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate88.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema122.type,parentSchema:schema122,data}];
return false;
}
}
validate88.errors = vErrors;
return errors === 0;
}
validate88.evaluated = {"props":{"type":true,"verdict":true,"revision":true},"dynamicProps":false,"dynamicItems":false};

const schema124 = {"title":"SyncedReply","type":"object","required":["type","confirmed","version","epoch","revision","sightings","mark","cores"],"properties":{"type":{"type":"string","const":"synced"},"confirmed":{"description":"Whether a majority says that no version is newer.","type":"boolean"},"version":{"$ref":"#/$defs/Count"},"document":{"description":"The configuration, packed, if the asker has an older one.","type":"string"},"epoch":{"type":"string"},"revision":{"$ref":"#/$defs/Count"},"sightings":{"type":"array","items":{"$ref":"#/$defs/Sighting"}},"mark":{"description":"Of the hosts that take requests now.","type":"string"},"hosts":{"description":"These, if the asker knows others.","type":"array","items":{"$ref":"#/$defs/EntryHost"}},"cores":{"type":"array","items":{"$ref":"#/$defs/Name"}},"evacuations":{"$ref":"#/$defs/Evacuations"},"suspectRevision":{"$ref":"#/$defs/Count"},"suspects":{"description":"Those that have changed since the asker's revision.","type":"array","items":{"$ref":"#/$defs/Suspect"}},"limits":{"description":"Rate limits that endpoints name; absent without any.","type":"array","items":{"$ref":"#/$defs/EndpointLimit"}},"slowness":{"description":"Recently changed estimates of all hosts together; absent without any.\n","$ref":"#/$defs/SlownessReports"},"contended":{"$ref":"#/$defs/Contended"}}};
const schema129 = {"description":"Services under contention; absent without any.","type":"array","items":{"$ref":"#/$defs/Name"}};

function validate96(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate96.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
let data0 = data[i0];
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 256){
validate96.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate96.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data0}];
return false;
}
}
}
else {
validate96.errors = [{instancePath:instancePath+"/" + i0,schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
else {
validate96.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema129.type,parentSchema:schema129,data}];
return false;
}
}
validate96.errors = vErrors;
return errors === 0;
}
validate96.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate89(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate89.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((((data.type === undefined) && (missing0 = "type")) || ((data.confirmed === undefined) && (missing0 = "confirmed"))) || ((data.version === undefined) && (missing0 = "version"))) || ((data.epoch === undefined) && (missing0 = "epoch"))) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.sightings === undefined) && (missing0 = "sightings"))) || ((data.mark === undefined) && (missing0 = "mark"))) || ((data.cores === undefined) && (missing0 = "cores"))){
validate89.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema124.required,parentSchema:schema124,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate89.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema124.properties.type.type,parentSchema:schema124.properties.type,data:data0}];
return false;
}
if("synced" !== data0){
validate89.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "synced"},message:"must be equal to constant",schema:"synced",parentSchema:schema124.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.confirmed !== undefined){
let data1 = data.confirmed;
const _errs3 = errors;
if(typeof data1 !== "boolean"){
validate89.errors = [{instancePath:instancePath+"/confirmed",schemaPath:"#/properties/confirmed/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema124.properties.confirmed.type,parentSchema:schema124.properties.confirmed,data:data1}];
return false;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data2 = data.version;
const _errs5 = errors;
const _errs6 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate89.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate89.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.document !== undefined){
let data3 = data.document;
const _errs8 = errors;
if(typeof data3 !== "string"){
validate89.errors = [{instancePath:instancePath+"/document",schemaPath:"#/properties/document/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema124.properties.document.type,parentSchema:schema124.properties.document,data:data3}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.epoch !== undefined){
let data4 = data.epoch;
const _errs10 = errors;
if(typeof data4 !== "string"){
validate89.errors = [{instancePath:instancePath+"/epoch",schemaPath:"#/properties/epoch/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema124.properties.epoch.type,parentSchema:schema124.properties.epoch,data:data4}];
return false;
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data5 = data.revision;
const _errs12 = errors;
const _errs13 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate89.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data5}];
return false;
}
if(errors === _errs13){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate89.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data5}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sightings !== undefined){
let data6 = data.sightings;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data6)){
var valid3 = true;
const len0 = data6.length;
for(let i0=0; i0<len0; i0++){
const _errs17 = errors;
if(!(validate34(data6[i0], {instancePath:instancePath+"/sightings/" + i0,parentData:data6,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate34.errors : vErrors.concat(validate34.errors);
errors = vErrors.length;
}
var valid3 = _errs17 === errors;
if(!valid3){
break;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/sightings",schemaPath:"#/properties/sightings/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema124.properties.sightings.type,parentSchema:schema124.properties.sightings,data:data6}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.mark !== undefined){
let data8 = data.mark;
const _errs18 = errors;
if(typeof data8 !== "string"){
validate89.errors = [{instancePath:instancePath+"/mark",schemaPath:"#/properties/mark/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema124.properties.mark.type,parentSchema:schema124.properties.mark,data:data8}];
return false;
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.hosts !== undefined){
let data9 = data.hosts;
const _errs20 = errors;
if(errors === _errs20){
if(Array.isArray(data9)){
var valid4 = true;
const len1 = data9.length;
for(let i1=0; i1<len1; i1++){
const _errs22 = errors;
if(!(validate27(data9[i1], {instancePath:instancePath+"/hosts/" + i1,parentData:data9,parentDataProperty:i1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
var valid4 = _errs22 === errors;
if(!valid4){
break;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema124.properties.hosts.type,parentSchema:schema124.properties.hosts,data:data9}];
return false;
}
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cores !== undefined){
let data11 = data.cores;
const _errs23 = errors;
if(errors === _errs23){
if(Array.isArray(data11)){
var valid5 = true;
const len2 = data11.length;
for(let i2=0; i2<len2; i2++){
let data12 = data11[i2];
const _errs25 = errors;
const _errs26 = errors;
if(errors === _errs26){
if(typeof data12 === "string"){
if(data12.length > 256){
validate89.errors = [{instancePath:instancePath+"/cores/" + i2,schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data12}];
return false;
}
else {
if(data12.length < 1){
validate89.errors = [{instancePath:instancePath+"/cores/" + i2,schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data12}];
return false;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/cores/" + i2,schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data12}];
return false;
}
}
var valid5 = _errs25 === errors;
if(!valid5){
break;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/cores",schemaPath:"#/properties/cores/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema124.properties.cores.type,parentSchema:schema124.properties.cores,data:data11}];
return false;
}
}
var valid0 = _errs23 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.evacuations !== undefined){
const _errs28 = errors;
if(!(validate83(data.evacuations, {instancePath:instancePath+"/evacuations",parentData:data,parentDataProperty:"evacuations",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate83.errors : vErrors.concat(validate83.errors);
errors = vErrors.length;
}
var valid0 = _errs28 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.suspectRevision !== undefined){
let data14 = data.suspectRevision;
const _errs29 = errors;
const _errs30 = errors;
if(!(((typeof data14 == "number") && (!(data14 % 1) && !isNaN(data14))) && (isFinite(data14)))){
validate89.errors = [{instancePath:instancePath+"/suspectRevision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data14}];
return false;
}
if(errors === _errs30){
if((typeof data14 == "number") && (isFinite(data14))){
if(data14 < 0 || isNaN(data14)){
validate89.errors = [{instancePath:instancePath+"/suspectRevision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data14}];
return false;
}
}
}
var valid0 = _errs29 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.suspects !== undefined){
let data15 = data.suspects;
const _errs32 = errors;
if(errors === _errs32){
if(Array.isArray(data15)){
var valid8 = true;
const len3 = data15.length;
for(let i3=0; i3<len3; i3++){
const _errs34 = errors;
if(!(validate44(data15[i3], {instancePath:instancePath+"/suspects/" + i3,parentData:data15,parentDataProperty:i3,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate44.errors : vErrors.concat(validate44.errors);
errors = vErrors.length;
}
var valid8 = _errs34 === errors;
if(!valid8){
break;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/suspects",schemaPath:"#/properties/suspects/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema124.properties.suspects.type,parentSchema:schema124.properties.suspects,data:data15}];
return false;
}
}
var valid0 = _errs32 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limits !== undefined){
let data17 = data.limits;
const _errs35 = errors;
if(errors === _errs35){
if(Array.isArray(data17)){
var valid9 = true;
const len4 = data17.length;
for(let i4=0; i4<len4; i4++){
const _errs37 = errors;
if(!(validate50(data17[i4], {instancePath:instancePath+"/limits/" + i4,parentData:data17,parentDataProperty:i4,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate50.errors : vErrors.concat(validate50.errors);
errors = vErrors.length;
}
var valid9 = _errs37 === errors;
if(!valid9){
break;
}
}
}
else {
validate89.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/properties/limits/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema124.properties.limits.type,parentSchema:schema124.properties.limits,data:data17}];
return false;
}
}
var valid0 = _errs35 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slowness !== undefined){
const _errs38 = errors;
if(!(validate29(data.slowness, {instancePath:instancePath+"/slowness",parentData:data,parentDataProperty:"slowness",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate29.errors : vErrors.concat(validate29.errors);
errors = vErrors.length;
}
var valid0 = _errs38 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.contended !== undefined){
const _errs39 = errors;
if(!(validate96(data.contended, {instancePath:instancePath+"/contended",parentData:data,parentDataProperty:"contended",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate96.errors : vErrors.concat(validate96.errors);
errors = vErrors.length;
}
var valid0 = _errs39 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate89.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema124.type,parentSchema:schema124,data}];
return false;
}
}
validate89.errors = vErrors;
return errors === 0;
}
validate89.evaluated = {"props":{"type":true,"confirmed":true,"version":true,"document":true,"epoch":true,"revision":true,"sightings":true,"mark":true,"hosts":true,"cores":true,"evacuations":true,"suspectRevision":true,"suspects":true,"limits":true,"slowness":true,"contended":true},"dynamicProps":false,"dynamicItems":false};

const schema131 = {"title":"MadeReply","description":"Results, and the question that they answer, which hosts of earlier\nreleases leave out.\n","type":"object","required":["type","results"],"properties":{"type":{"type":"string","const":"made"},"service":{"$ref":"#/$defs/Name"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"results":{"type":"array","items":{"$ref":"#/$defs/Result"}}}};
const schema135 = {"title":"Result","description":"A result, or why there is none.","type":"object","required":["piece"],"properties":{"piece":{"$ref":"#/$defs/Count"},"handle":{"type":"string"},"failure":{"enum":["late","gone","room","error","unreachable"]}}};

function validate99(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate99.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.piece === undefined) && (missing0 = "piece")){
validate99.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema135.required,parentSchema:schema135,data}];
return false;
}
else {
if(data.piece !== undefined){
let data0 = data.piece;
const _errs1 = errors;
const _errs2 = errors;
if(!(((typeof data0 == "number") && (!(data0 % 1) && !isNaN(data0))) && (isFinite(data0)))){
validate99.errors = [{instancePath:instancePath+"/piece",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data0}];
return false;
}
if(errors === _errs2){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 < 0 || isNaN(data0)){
validate99.errors = [{instancePath:instancePath+"/piece",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data0}];
return false;
}
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.handle !== undefined){
let data1 = data.handle;
const _errs4 = errors;
if(typeof data1 !== "string"){
validate99.errors = [{instancePath:instancePath+"/handle",schemaPath:"#/properties/handle/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema135.properties.handle.type,parentSchema:schema135.properties.handle,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.failure !== undefined){
let data2 = data.failure;
const _errs6 = errors;
if(!(((((data2 === "late") || (data2 === "gone")) || (data2 === "room")) || (data2 === "error")) || (data2 === "unreachable"))){
validate99.errors = [{instancePath:instancePath+"/failure",schemaPath:"#/properties/failure/enum",keyword:"enum",params:{allowedValues: schema135.properties.failure.enum},message:"must be equal to one of the allowed values",schema:schema135.properties.failure.enum,parentSchema:schema135.properties.failure,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate99.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema135.type,parentSchema:schema135,data}];
return false;
}
}
validate99.errors = vErrors;
return errors === 0;
}
validate99.evaluated = {"props":{"piece":true,"handle":true,"failure":true},"dynamicProps":false,"dynamicItems":false};


function validate98(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate98.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.results === undefined) && (missing0 = "results"))){
validate98.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema131.required,parentSchema:schema131,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate98.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema131.properties.type.type,parentSchema:schema131.properties.type,data:data0}];
return false;
}
if("made" !== data0){
validate98.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "made"},message:"must be equal to constant",schema:"made",parentSchema:schema131.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate98.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate98.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate98.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.request !== undefined){
let data2 = data.request;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate98.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate98.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data2}];
return false;
}
}
}
else {
validate98.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stage !== undefined){
let data3 = data.stage;
const _errs9 = errors;
const _errs10 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate98.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data3}];
return false;
}
if(errors === _errs10){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate98.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data3}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.results !== undefined){
let data4 = data.results;
const _errs12 = errors;
if(errors === _errs12){
if(Array.isArray(data4)){
var valid4 = true;
const len0 = data4.length;
for(let i0=0; i0<len0; i0++){
const _errs14 = errors;
if(!(validate99(data4[i0], {instancePath:instancePath+"/results/" + i0,parentData:data4,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate99.errors : vErrors.concat(validate99.errors);
errors = vErrors.length;
}
var valid4 = _errs14 === errors;
if(!valid4){
break;
}
}
}
else {
validate98.errors = [{instancePath:instancePath+"/results",schemaPath:"#/properties/results/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema131.properties.results.type,parentSchema:schema131.properties.results,data:data4}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate98.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema131.type,parentSchema:schema131,data}];
return false;
}
}
validate98.errors = vErrors;
return errors === 0;
}
validate98.evaluated = {"props":{"type":true,"service":true,"request":true,"stage":true,"results":true},"dynamicProps":false,"dynamicItems":false};

const schema137 = {"title":"PlacedReply","type":"object","required":["type","engine","read","fetched","fetchTime","firstEvent","work"],"properties":{"type":{"type":"string","const":"placed"},"engine":{"$ref":"#/$defs/Engine"},"source":{"description":"Engine that it fetches shared parts of the prompt from.","$ref":"#/$defs/Engine"},"read":{"description":"Prompt tokens that it must read.","type":"number","minimum":0},"fetched":{"type":"number","minimum":0},"fetchTime":{"description":"Milliseconds that the fetch takes.","type":"number","minimum":0},"firstEvent":{"description":"Milliseconds until its first event is expected.","type":"number","minimum":0},"work":{"$ref":"#/$defs/EngineWork"},"slowness":{"description":"Slowness of the engine; absent while its service is even.","type":"number","exclusiveMinimum":0}}};
const schema140 = {"title":"EngineWork","description":"What an engine has to do before a first event.","type":"object","required":["tokens","streams"],"properties":{"tokens":{"type":"number","minimum":0},"streams":{"type":"number","minimum":0}}};

function validate101(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate101.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((data.type === undefined) && (missing0 = "type")) || ((data.engine === undefined) && (missing0 = "engine"))) || ((data.read === undefined) && (missing0 = "read"))) || ((data.fetched === undefined) && (missing0 = "fetched"))) || ((data.fetchTime === undefined) && (missing0 = "fetchTime"))) || ((data.firstEvent === undefined) && (missing0 = "firstEvent"))) || ((data.work === undefined) && (missing0 = "work"))){
validate101.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema137.required,parentSchema:schema137,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate101.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema137.properties.type.type,parentSchema:schema137.properties.type,data:data0}];
return false;
}
if("placed" !== data0){
validate101.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "placed"},message:"must be equal to constant",schema:"placed",parentSchema:schema137.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.engine !== undefined){
let data1 = data.engine;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 300){
validate101.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate101.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data1}];
return false;
}
}
}
else {
validate101.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.source !== undefined){
let data2 = data.source;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 300){
validate101.errors = [{instancePath:instancePath+"/source",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate101.errors = [{instancePath:instancePath+"/source",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data2}];
return false;
}
}
}
else {
validate101.errors = [{instancePath:instancePath+"/source",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.read !== undefined){
let data3 = data.read;
const _errs9 = errors;
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate101.errors = [{instancePath:instancePath+"/read",schemaPath:"#/properties/read/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema137.properties.read,data:data3}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/read",schemaPath:"#/properties/read/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema137.properties.read.type,parentSchema:schema137.properties.read,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fetched !== undefined){
let data4 = data.fetched;
const _errs11 = errors;
if(errors === _errs11){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate101.errors = [{instancePath:instancePath+"/fetched",schemaPath:"#/properties/fetched/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema137.properties.fetched,data:data4}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/fetched",schemaPath:"#/properties/fetched/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema137.properties.fetched.type,parentSchema:schema137.properties.fetched,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fetchTime !== undefined){
let data5 = data.fetchTime;
const _errs13 = errors;
if(errors === _errs13){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate101.errors = [{instancePath:instancePath+"/fetchTime",schemaPath:"#/properties/fetchTime/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema137.properties.fetchTime,data:data5}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/fetchTime",schemaPath:"#/properties/fetchTime/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema137.properties.fetchTime.type,parentSchema:schema137.properties.fetchTime,data:data5}];
return false;
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.firstEvent !== undefined){
let data6 = data.firstEvent;
const _errs15 = errors;
if(errors === _errs15){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate101.errors = [{instancePath:instancePath+"/firstEvent",schemaPath:"#/properties/firstEvent/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema137.properties.firstEvent,data:data6}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/firstEvent",schemaPath:"#/properties/firstEvent/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema137.properties.firstEvent.type,parentSchema:schema137.properties.firstEvent,data:data6}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.work !== undefined){
let data7 = data.work;
const _errs17 = errors;
const _errs18 = errors;
if(errors === _errs18){
if(data7 && typeof data7 == "object" && !Array.isArray(data7)){
let missing1;
if(((data7.tokens === undefined) && (missing1 = "tokens")) || ((data7.streams === undefined) && (missing1 = "streams"))){
validate101.errors = [{instancePath:instancePath+"/work",schemaPath:"#/$defs/EngineWork/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema140.required,parentSchema:schema140,data:data7}];
return false;
}
else {
if(data7.tokens !== undefined){
let data8 = data7.tokens;
const _errs20 = errors;
if(errors === _errs20){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < 0 || isNaN(data8)){
validate101.errors = [{instancePath:instancePath+"/work/tokens",schemaPath:"#/$defs/EngineWork/properties/tokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema140.properties.tokens,data:data8}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/work/tokens",schemaPath:"#/$defs/EngineWork/properties/tokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema140.properties.tokens.type,parentSchema:schema140.properties.tokens,data:data8}];
return false;
}
}
var valid4 = _errs20 === errors;
}
else {
var valid4 = true;
}
if(valid4){
if(data7.streams !== undefined){
let data9 = data7.streams;
const _errs22 = errors;
if(errors === _errs22){
if((typeof data9 == "number") && (isFinite(data9))){
if(data9 < 0 || isNaN(data9)){
validate101.errors = [{instancePath:instancePath+"/work/streams",schemaPath:"#/$defs/EngineWork/properties/streams/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema140.properties.streams,data:data9}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/work/streams",schemaPath:"#/$defs/EngineWork/properties/streams/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema140.properties.streams.type,parentSchema:schema140.properties.streams,data:data9}];
return false;
}
}
var valid4 = _errs22 === errors;
}
else {
var valid4 = true;
}
}
}
}
else {
validate101.errors = [{instancePath:instancePath+"/work",schemaPath:"#/$defs/EngineWork/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema140.type,parentSchema:schema140,data:data7}];
return false;
}
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slowness !== undefined){
let data10 = data.slowness;
const _errs24 = errors;
if(errors === _errs24){
if((typeof data10 == "number") && (isFinite(data10))){
if(data10 <= 0 || isNaN(data10)){
validate101.errors = [{instancePath:instancePath+"/slowness",schemaPath:"#/properties/slowness/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema137.properties.slowness,data:data10}];
return false;
}
}
else {
validate101.errors = [{instancePath:instancePath+"/slowness",schemaPath:"#/properties/slowness/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema137.properties.slowness.type,parentSchema:schema137.properties.slowness,data:data10}];
return false;
}
}
var valid0 = _errs24 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate101.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema137.type,parentSchema:schema137,data}];
return false;
}
}
validate101.errors = vErrors;
return errors === 0;
}
validate101.evaluated = {"props":{"type":true,"engine":true,"source":true,"read":true,"fetched":true,"fetchTime":true,"firstEvent":true,"work":true,"slowness":true},"dynamicProps":false,"dynamicItems":false};

const schema141 = {"title":"OriginReply","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"origin"},"origin":{"description":"Absent if it is not known.","$ref":"#/$defs/StreamOrigin"},"conflicting":{"description":"Whether different origins were recorded for the stream.","type":"boolean"}}};

function validate102(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate102.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate102.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema141.required,parentSchema:schema141,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate102.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema141.properties.type.type,parentSchema:schema141.properties.type,data:data0}];
return false;
}
if("origin" !== data0){
validate102.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "origin"},message:"must be equal to constant",schema:"origin",parentSchema:schema141.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.origin !== undefined){
const _errs3 = errors;
if(!(validate55(data.origin, {instancePath:instancePath+"/origin",parentData:data,parentDataProperty:"origin",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate55.errors : vErrors.concat(validate55.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.conflicting !== undefined){
let data2 = data.conflicting;
const _errs4 = errors;
if(typeof data2 !== "boolean"){
validate102.errors = [{instancePath:instancePath+"/conflicting",schemaPath:"#/properties/conflicting/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema141.properties.conflicting.type,parentSchema:schema141.properties.conflicting,data:data2}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate102.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema141.type,parentSchema:schema141,data}];
return false;
}
}
validate102.errors = vErrors;
return errors === 0;
}
validate102.evaluated = {"props":{"type":true,"origin":true,"conflicting":true},"dynamicProps":false,"dynamicItems":false};

const schema142 = {"title":"SharesReply","type":"object","required":["type","watched","limits"],"properties":{"type":{"type":"string","const":"shares"},"watched":{"description":"Whether the service is or recently was under contention.","type":"boolean"},"decided":{"description":"Whether the replier has heard enough hosts to decide; a reply without a\ncapacity then says that there is no contention.\n","type":"boolean"},"capacity":{"description":"Cost a second that the service is taken to serve.","type":"number","minimum":0},"limits":{"description":"Limits for the asker; accounts without one are not limited.","type":"array","items":{"$ref":"#/$defs/AccountLimit"}}}};
const schema143 = {"title":"AccountLimit","type":"object","required":["account","rank","rate"],"properties":{"account":{"type":"string","maxLength":256},"rank":{"$ref":"#/$defs/Count"},"rate":{"description":"Cost a second.","type":"number","minimum":0}}};

function validate105(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate105.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.account === undefined) && (missing0 = "account")) || ((data.rank === undefined) && (missing0 = "rank"))) || ((data.rate === undefined) && (missing0 = "rate"))){
validate105.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema143.required,parentSchema:schema143,data}];
return false;
}
else {
if(data.account !== undefined){
let data0 = data.account;
const _errs1 = errors;
if(errors === _errs1){
if(typeof data0 === "string"){
if(data0.length > 256){
validate105.errors = [{instancePath:instancePath+"/account",schemaPath:"#/properties/account/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema143.properties.account,data:data0}];
return false;
}
}
else {
validate105.errors = [{instancePath:instancePath+"/account",schemaPath:"#/properties/account/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema143.properties.account.type,parentSchema:schema143.properties.account,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rank !== undefined){
let data1 = data.rank;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate105.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate105.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rate !== undefined){
let data2 = data.rate;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate105.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema143.properties.rate,data:data2}];
return false;
}
}
else {
validate105.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema143.properties.rate.type,parentSchema:schema143.properties.rate,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate105.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema143.type,parentSchema:schema143,data}];
return false;
}
}
validate105.errors = vErrors;
return errors === 0;
}
validate105.evaluated = {"props":{"account":true,"rank":true,"rate":true},"dynamicProps":false,"dynamicItems":false};


function validate104(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate104.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.watched === undefined) && (missing0 = "watched"))) || ((data.limits === undefined) && (missing0 = "limits"))){
validate104.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema142.required,parentSchema:schema142,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate104.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema142.properties.type.type,parentSchema:schema142.properties.type,data:data0}];
return false;
}
if("shares" !== data0){
validate104.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "shares"},message:"must be equal to constant",schema:"shares",parentSchema:schema142.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.watched !== undefined){
let data1 = data.watched;
const _errs3 = errors;
if(typeof data1 !== "boolean"){
validate104.errors = [{instancePath:instancePath+"/watched",schemaPath:"#/properties/watched/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema142.properties.watched.type,parentSchema:schema142.properties.watched,data:data1}];
return false;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.decided !== undefined){
let data2 = data.decided;
const _errs5 = errors;
if(typeof data2 !== "boolean"){
validate104.errors = [{instancePath:instancePath+"/decided",schemaPath:"#/properties/decided/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema142.properties.decided.type,parentSchema:schema142.properties.decided,data:data2}];
return false;
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.capacity !== undefined){
let data3 = data.capacity;
const _errs7 = errors;
if(errors === _errs7){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate104.errors = [{instancePath:instancePath+"/capacity",schemaPath:"#/properties/capacity/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema142.properties.capacity,data:data3}];
return false;
}
}
else {
validate104.errors = [{instancePath:instancePath+"/capacity",schemaPath:"#/properties/capacity/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema142.properties.capacity.type,parentSchema:schema142.properties.capacity,data:data3}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limits !== undefined){
let data4 = data.limits;
const _errs9 = errors;
if(errors === _errs9){
if(Array.isArray(data4)){
var valid1 = true;
const len0 = data4.length;
for(let i0=0; i0<len0; i0++){
const _errs11 = errors;
if(!(validate105(data4[i0], {instancePath:instancePath+"/limits/" + i0,parentData:data4,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate105.errors : vErrors.concat(validate105.errors);
errors = vErrors.length;
}
var valid1 = _errs11 === errors;
if(!valid1){
break;
}
}
}
else {
validate104.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/properties/limits/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema142.properties.limits.type,parentSchema:schema142.properties.limits,data:data4}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate104.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema142.type,parentSchema:schema142,data}];
return false;
}
}
validate104.errors = vErrors;
return errors === 0;
}
validate104.evaluated = {"props":{"type":true,"watched":true,"decided":true,"capacity":true,"limits":true},"dynamicProps":false,"dynamicItems":false};


function validate81(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate81.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate81.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema112.required,parentSchema:schema112,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "failed"){
const _errs3 = errors;
if(errors === _errs3){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if(((data.type === undefined) && (missing1 = "type")) || ((data.reason === undefined) && (missing1 = "reason"))){
validate81.errors = [{instancePath,schemaPath:"#/$defs/FailedReply/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema145.required,parentSchema:schema145,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs5 = errors;
if(typeof data0 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/FailedReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema145.properties.type.type,parentSchema:schema145.properties.type,data:data0}];
return false;
}
if("failed" !== data0){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/FailedReply/properties/type/const",keyword:"const",params:{allowedValue: "failed"},message:"must be equal to constant",schema:"failed",parentSchema:schema145.properties.type,data:data0}];
return false;
}
var valid3 = _errs5 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data.reason !== undefined){
let data1 = data.reason;
const _errs7 = errors;
if(!((((((data1 === "not-leader") || (data1 === "no-quorum")) || (data1 === "unknown")) || (data1 === "stopped")) || (data1 === "not-served")) || (data1 === "unreachable"))){
validate81.errors = [{instancePath:instancePath+"/reason",schemaPath:"#/$defs/FailedReply/properties/reason/enum",keyword:"enum",params:{allowedValues: schema145.properties.reason.enum},message:"must be equal to one of the allowed values",schema:schema145.properties.reason.enum,parentSchema:schema145.properties.reason,data:data1}];
return false;
}
var valid3 = _errs7 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data.leader !== undefined){
let data2 = data.leader;
const _errs8 = errors;
if(typeof data2 !== "string"){
validate81.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/$defs/FailedReply/properties/leader/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema145.properties.leader.type,parentSchema:schema145.properties.leader,data:data2}];
return false;
}
var valid3 = _errs8 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/FailedReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema145.type,parentSchema:schema145,data}];
return false;
}
}
var props0 = {};
props0.type = true;
props0.reason = true;
props0.leader = true;
}
else if(tag0 === "confirmed"){
if(!(validate82(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate82.errors : vErrors.concat(validate82.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.index = true;
props0.version = true;
props0.document = true;
props0.digest = true;
props0.evacuations = true;
}
}
else if(tag0 === "replaced"){
if(!(validate87(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate87.errors : vErrors.concat(validate87.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.verdict = true;
props0.version = true;
}
}
else if(tag0 === "evacuated"){
if(!(validate88(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate88.errors : vErrors.concat(validate88.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.verdict = true;
props0.revision = true;
}
}
else if(tag0 === "synced"){
if(!(validate89(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate89.errors : vErrors.concat(validate89.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.confirmed = true;
props0.version = true;
props0.document = true;
props0.epoch = true;
props0.revision = true;
props0.sightings = true;
props0.mark = true;
props0.hosts = true;
props0.cores = true;
props0.evacuations = true;
props0.suspectRevision = true;
props0.suspects = true;
props0.limits = true;
props0.slowness = true;
props0.contended = true;
}
}
else if(tag0 === "noted"){
const _errs15 = errors;
if(errors === _errs15){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing2;
if((data.type === undefined) && (missing2 = "type")){
validate81.errors = [{instancePath,schemaPath:"#/$defs/NotedReply/required",keyword:"required",params:{missingProperty: missing2},message:"must have required property '"+missing2+"'",schema:schema146.required,parentSchema:schema146,data}];
return false;
}
else {
if(data.type !== undefined){
let data3 = data.type;
if(typeof data3 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/NotedReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema146.properties.type.type,parentSchema:schema146.properties.type,data:data3}];
return false;
}
if("noted" !== data3){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/NotedReply/properties/type/const",keyword:"const",params:{allowedValue: "noted"},message:"must be equal to constant",schema:"noted",parentSchema:schema146.properties.type,data:data3}];
return false;
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/NotedReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema146.type,parentSchema:schema146,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
}
}
else if(tag0 === "made"){
if(!(validate98(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate98.errors : vErrors.concat(validate98.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.request = true;
props0.stage = true;
props0.results = true;
}
}
else if(tag0 === "booked"){
const _errs21 = errors;
if(errors === _errs21){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing3;
if((((data.type === undefined) && (missing3 = "type")) || ((data.wait === undefined) && (missing3 = "wait"))) || ((data.work === undefined) && (missing3 = "work"))){
validate81.errors = [{instancePath,schemaPath:"#/$defs/BookedReply/required",keyword:"required",params:{missingProperty: missing3},message:"must have required property '"+missing3+"'",schema:schema147.required,parentSchema:schema147,data}];
return false;
}
else {
if(data.type !== undefined){
let data4 = data.type;
const _errs23 = errors;
if(typeof data4 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/BookedReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema147.properties.type.type,parentSchema:schema147.properties.type,data:data4}];
return false;
}
if("booked" !== data4){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/BookedReply/properties/type/const",keyword:"const",params:{allowedValue: "booked"},message:"must be equal to constant",schema:"booked",parentSchema:schema147.properties.type,data:data4}];
return false;
}
var valid14 = _errs23 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.wait !== undefined){
let data5 = data.wait;
const _errs25 = errors;
if(!((typeof data5 == "number") && (isFinite(data5)))){
validate81.errors = [{instancePath:instancePath+"/wait",schemaPath:"#/$defs/BookedReply/properties/wait/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema147.properties.wait.type,parentSchema:schema147.properties.wait,data:data5}];
return false;
}
var valid14 = _errs25 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.work !== undefined){
let data6 = data.work;
const _errs27 = errors;
if(!((typeof data6 == "number") && (isFinite(data6)))){
validate81.errors = [{instancePath:instancePath+"/work",schemaPath:"#/$defs/BookedReply/properties/work/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema147.properties.work.type,parentSchema:schema147.properties.work,data:data6}];
return false;
}
var valid14 = _errs27 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.workAge !== undefined){
let data7 = data.workAge;
const _errs29 = errors;
if(!((typeof data7 == "number") && (isFinite(data7)))){
validate81.errors = [{instancePath:instancePath+"/workAge",schemaPath:"#/$defs/BookedReply/properties/workAge/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema147.properties.workAge.type,parentSchema:schema147.properties.workAge,data:data7}];
return false;
}
var valid14 = _errs29 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.ahead !== undefined){
let data8 = data.ahead;
const _errs31 = errors;
if(!((typeof data8 == "number") && (isFinite(data8)))){
validate81.errors = [{instancePath:instancePath+"/ahead",schemaPath:"#/$defs/BookedReply/properties/ahead/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema147.properties.ahead.type,parentSchema:schema147.properties.ahead,data:data8}];
return false;
}
var valid14 = _errs31 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.rate !== undefined){
let data9 = data.rate;
const _errs33 = errors;
if(!((typeof data9 == "number") && (isFinite(data9)))){
validate81.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/$defs/BookedReply/properties/rate/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema147.properties.rate.type,parentSchema:schema147.properties.rate,data:data9}];
return false;
}
var valid14 = _errs33 === errors;
}
else {
var valid14 = true;
}
if(valid14){
if(data.scarce !== undefined){
let data10 = data.scarce;
const _errs35 = errors;
if(typeof data10 !== "string"){
validate81.errors = [{instancePath:instancePath+"/scarce",schemaPath:"#/$defs/BookedReply/properties/scarce/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema147.properties.scarce.type,parentSchema:schema147.properties.scarce,data:data10}];
return false;
}
if(!(((data10 === "calls") || (data10 === "memory")) || (data10 === "placement"))){
validate81.errors = [{instancePath:instancePath+"/scarce",schemaPath:"#/$defs/BookedReply/properties/scarce/enum",keyword:"enum",params:{allowedValues: schema147.properties.scarce.enum},message:"must be equal to one of the allowed values",schema:schema147.properties.scarce.enum,parentSchema:schema147.properties.scarce,data:data10}];
return false;
}
var valid14 = _errs35 === errors;
}
else {
var valid14 = true;
}
}
}
}
}
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/BookedReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema147.type,parentSchema:schema147,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.wait = true;
props0.work = true;
props0.workAge = true;
props0.ahead = true;
props0.rate = true;
props0.scarce = true;
}
}
else if(tag0 === "placed"){
if(!(validate101(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate101.errors : vErrors.concat(validate101.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.engine = true;
props0.source = true;
props0.read = true;
props0.fetched = true;
props0.fetchTime = true;
props0.firstEvent = true;
props0.work = true;
props0.slowness = true;
}
}
else if(tag0 === "lease"){
const _errs39 = errors;
if(errors === _errs39){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing4;
if((((data.type === undefined) && (missing4 = "type")) || ((data.granted === undefined) && (missing4 = "granted"))) || ((data.wait === undefined) && (missing4 = "wait"))){
validate81.errors = [{instancePath,schemaPath:"#/$defs/LeaseReply/required",keyword:"required",params:{missingProperty: missing4},message:"must have required property '"+missing4+"'",schema:schema148.required,parentSchema:schema148,data}];
return false;
}
else {
if(data.type !== undefined){
let data11 = data.type;
const _errs41 = errors;
if(typeof data11 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/LeaseReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema148.properties.type.type,parentSchema:schema148.properties.type,data:data11}];
return false;
}
if("lease" !== data11){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/LeaseReply/properties/type/const",keyword:"const",params:{allowedValue: "lease"},message:"must be equal to constant",schema:"lease",parentSchema:schema148.properties.type,data:data11}];
return false;
}
var valid18 = _errs41 === errors;
}
else {
var valid18 = true;
}
if(valid18){
if(data.granted !== undefined){
let data12 = data.granted;
const _errs43 = errors;
if(typeof data12 !== "boolean"){
validate81.errors = [{instancePath:instancePath+"/granted",schemaPath:"#/$defs/LeaseReply/properties/granted/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema148.properties.granted.type,parentSchema:schema148.properties.granted,data:data12}];
return false;
}
var valid18 = _errs43 === errors;
}
else {
var valid18 = true;
}
if(valid18){
if(data.taken !== undefined){
let data13 = data.taken;
const _errs45 = errors;
if(typeof data13 !== "boolean"){
validate81.errors = [{instancePath:instancePath+"/taken",schemaPath:"#/$defs/LeaseReply/properties/taken/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema148.properties.taken.type,parentSchema:schema148.properties.taken,data:data13}];
return false;
}
var valid18 = _errs45 === errors;
}
else {
var valid18 = true;
}
if(valid18){
if(data.wait !== undefined){
let data14 = data.wait;
const _errs47 = errors;
if(errors === _errs47){
if((typeof data14 == "number") && (isFinite(data14))){
if(data14 < 0 || isNaN(data14)){
validate81.errors = [{instancePath:instancePath+"/wait",schemaPath:"#/$defs/LeaseReply/properties/wait/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema148.properties.wait,data:data14}];
return false;
}
}
else {
validate81.errors = [{instancePath:instancePath+"/wait",schemaPath:"#/$defs/LeaseReply/properties/wait/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema148.properties.wait.type,parentSchema:schema148.properties.wait,data:data14}];
return false;
}
}
var valid18 = _errs47 === errors;
}
else {
var valid18 = true;
}
}
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/LeaseReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema148.type,parentSchema:schema148,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.granted = true;
props0.taken = true;
props0.wait = true;
}
}
else if(tag0 === "quota"){
const _errs50 = errors;
if(errors === _errs50){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing5;
if((((data.type === undefined) && (missing5 = "type")) || ((data.granted === undefined) && (missing5 = "granted"))) || ((data.wait === undefined) && (missing5 = "wait"))){
validate81.errors = [{instancePath,schemaPath:"#/$defs/QuotaReply/required",keyword:"required",params:{missingProperty: missing5},message:"must have required property '"+missing5+"'",schema:schema149.required,parentSchema:schema149,data}];
return false;
}
else {
if(data.type !== undefined){
let data15 = data.type;
const _errs52 = errors;
if(typeof data15 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/QuotaReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema149.properties.type.type,parentSchema:schema149.properties.type,data:data15}];
return false;
}
if("quota" !== data15){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/QuotaReply/properties/type/const",keyword:"const",params:{allowedValue: "quota"},message:"must be equal to constant",schema:"quota",parentSchema:schema149.properties.type,data:data15}];
return false;
}
var valid21 = _errs52 === errors;
}
else {
var valid21 = true;
}
if(valid21){
if(data.granted !== undefined){
let data16 = data.granted;
const _errs54 = errors;
if(typeof data16 !== "boolean"){
validate81.errors = [{instancePath:instancePath+"/granted",schemaPath:"#/$defs/QuotaReply/properties/granted/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema149.properties.granted.type,parentSchema:schema149.properties.granted,data:data16}];
return false;
}
var valid21 = _errs54 === errors;
}
else {
var valid21 = true;
}
if(valid21){
if(data.wait !== undefined){
let data17 = data.wait;
const _errs56 = errors;
if(errors === _errs56){
if((typeof data17 == "number") && (isFinite(data17))){
if(data17 < 0 || isNaN(data17)){
validate81.errors = [{instancePath:instancePath+"/wait",schemaPath:"#/$defs/QuotaReply/properties/wait/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema149.properties.wait,data:data17}];
return false;
}
}
else {
validate81.errors = [{instancePath:instancePath+"/wait",schemaPath:"#/$defs/QuotaReply/properties/wait/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema149.properties.wait.type,parentSchema:schema149.properties.wait,data:data17}];
return false;
}
}
var valid21 = _errs56 === errors;
}
else {
var valid21 = true;
}
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/QuotaReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema149.type,parentSchema:schema149,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.granted = true;
props0.wait = true;
}
}
else if(tag0 === "origin"){
if(!(validate102(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate102.errors : vErrors.concat(validate102.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.origin = true;
props0.conflicting = true;
}
}
else if(tag0 === "versions"){
const _errs60 = errors;
if(errors === _errs60){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing6;
if((((data.type === undefined) && (missing6 = "type")) || ((data.versions === undefined) && (missing6 = "versions"))) || ((data.complete === undefined) && (missing6 = "complete"))){
validate81.errors = [{instancePath,schemaPath:"#/$defs/VersionsReply/required",keyword:"required",params:{missingProperty: missing6},message:"must have required property '"+missing6+"'",schema:schema150.required,parentSchema:schema150,data}];
return false;
}
else {
if(data.type !== undefined){
let data18 = data.type;
const _errs62 = errors;
if(typeof data18 !== "string"){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/VersionsReply/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema150.properties.type.type,parentSchema:schema150.properties.type,data:data18}];
return false;
}
if("versions" !== data18){
validate81.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/VersionsReply/properties/type/const",keyword:"const",params:{allowedValue: "versions"},message:"must be equal to constant",schema:"versions",parentSchema:schema150.properties.type,data:data18}];
return false;
}
var valid25 = _errs62 === errors;
}
else {
var valid25 = true;
}
if(valid25){
if(data.versions !== undefined){
let data19 = data.versions;
const _errs64 = errors;
if(errors === _errs64){
if(Array.isArray(data19)){
var valid26 = true;
const len0 = data19.length;
for(let i0=0; i0<len0; i0++){
let data20 = data19[i0];
const _errs66 = errors;
if(errors === _errs66){
if(typeof data20 === "string"){
if(data20.length > 256){
validate81.errors = [{instancePath:instancePath+"/versions/" + i0,schemaPath:"#/$defs/VersionsReply/properties/versions/items/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema150.properties.versions.items,data:data20}];
return false;
}
}
else {
validate81.errors = [{instancePath:instancePath+"/versions/" + i0,schemaPath:"#/$defs/VersionsReply/properties/versions/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema150.properties.versions.items.type,parentSchema:schema150.properties.versions.items,data:data20}];
return false;
}
}
var valid26 = _errs66 === errors;
if(!valid26){
break;
}
}
}
else {
validate81.errors = [{instancePath:instancePath+"/versions",schemaPath:"#/$defs/VersionsReply/properties/versions/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema150.properties.versions.type,parentSchema:schema150.properties.versions,data:data19}];
return false;
}
}
var valid25 = _errs64 === errors;
}
else {
var valid25 = true;
}
if(valid25){
if(data.complete !== undefined){
let data21 = data.complete;
const _errs68 = errors;
if(typeof data21 !== "boolean"){
validate81.errors = [{instancePath:instancePath+"/complete",schemaPath:"#/$defs/VersionsReply/properties/complete/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema150.properties.complete.type,parentSchema:schema150.properties.complete,data:data21}];
return false;
}
var valid25 = _errs68 === errors;
}
else {
var valid25 = true;
}
}
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/$defs/VersionsReply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema150.type,parentSchema:schema150,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.versions = true;
props0.complete = true;
}
}
else if(tag0 === "shares"){
if(!(validate104(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate104.errors : vErrors.concat(validate104.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.watched = true;
props0.decided = true;
props0.capacity = true;
props0.limits = true;
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema112.discriminator,parentSchema:schema112,data}];
return false;
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema112.discriminator,parentSchema:schema112,data}];
return false;
}
}
}
else {
validate81.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema112.type,parentSchema:schema112,data}];
return false;
}
}
validate81.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate81.evaluated = {"dynamicProps":true,"dynamicItems":false};


function validate80(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate80.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.body === undefined) && (missing0 = "body"))){
validate80.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema110.required,parentSchema:schema110,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate80.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema110.properties.type.type,parentSchema:schema110.properties.type,data:data0}];
return false;
}
if("answer" !== data0){
validate80.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "answer"},message:"must be equal to constant",schema:"answer",parentSchema:schema110.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate80.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate80.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.body !== undefined){
const _errs6 = errors;
if(!(validate81(data.body, {instancePath:instancePath+"/body",parentData:data,parentDataProperty:"body",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate81.errors : vErrors.concat(validate81.errors);
errors = vErrors.length;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate80.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema110.type,parentSchema:schema110,data}];
return false;
}
}
validate80.errors = vErrors;
return errors === 0;
}
validate80.evaluated = {"props":{"type":true,"id":true,"body":true},"dynamicProps":false,"dynamicItems":false};

const schema151 = {"title":"Working","description":"Questions that this host has and has not answered yet.","type":"object","required":["type","ids"],"properties":{"type":{"type":"string","const":"working"},"ids":{"type":"array","items":{"$ref":"#/$defs/Count"}}}};

function validate116(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate116.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.ids === undefined) && (missing0 = "ids"))){
validate116.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema151.required,parentSchema:schema151,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate116.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema151.properties.type.type,parentSchema:schema151.properties.type,data:data0}];
return false;
}
if("working" !== data0){
validate116.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "working"},message:"must be equal to constant",schema:"working",parentSchema:schema151.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ids !== undefined){
let data1 = data.ids;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
let data2 = data1[i0];
const _errs5 = errors;
const _errs6 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate116.errors = [{instancePath:instancePath+"/ids/" + i0,schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data2}];
return false;
}
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate116.errors = [{instancePath:instancePath+"/ids/" + i0,schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data2}];
return false;
}
}
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate116.errors = [{instancePath:instancePath+"/ids",schemaPath:"#/properties/ids/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema151.properties.ids.type,parentSchema:schema151.properties.ids,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate116.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema151.type,parentSchema:schema151,data}];
return false;
}
}
validate116.errors = vErrors;
return errors === 0;
}
validate116.evaluated = {"props":{"type":true,"ids":true},"dynamicProps":false,"dynamicItems":false};

const schema153 = {"title":"Cast","type":"object","required":["type","body"],"properties":{"type":{"type":"string","const":"cast"},"body":{"$ref":"#/$defs/Notice"}}};
const schema154 = {"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/HelloNotice"},{"$ref":"#/$defs/ReleaseNotice"},{"$ref":"#/$defs/DropNotice"},{"$ref":"#/$defs/UseNotice"},{"$ref":"#/$defs/SuspectsNotice"},{"$ref":"#/$defs/LeaseOverNotice"},{"$ref":"#/$defs/LimitsNotice"},{"$ref":"#/$defs/SlotsNotice"}]};
const schema177 = {"title":"LeaseOverNotice","description":"A run under a lease has ended without a crash or an answer.","type":"object","required":["type","fingerprint"],"properties":{"type":{"type":"string","const":"lease-over"},"fingerprint":{"type":"string","minLength":1,"maxLength":64},"unused":{"description":"Whether no endpoint ran the request, so it was no trial.","type":"boolean"}}};
const schema155 = {"title":"HelloNotice","description":"A core host is there, and knows these.","type":"object","required":["type","dataCentre","cores","hosts"],"properties":{"type":{"type":"string","const":"hello"},"dataCentre":{"$ref":"#/$defs/Name"},"cores":{"type":"array","items":{"$ref":"#/$defs/Name"}},"hosts":{"type":"array","items":{"$ref":"#/$defs/EntryHost"}},"leadership":{"description":"Absent where the sender's replica hears no leader.","$ref":"#/$defs/Leadership"},"limits":{"description":"Rate limits that endpoints name; absent without any.","type":"array","items":{"$ref":"#/$defs/EndpointLimit"}},"slowness":{"description":"Observations that entry hosts have reported to the sender since its\nlast hello to the receiver; absent without any.\n","$ref":"#/$defs/SlownessReports"},"contended":{"$ref":"#/$defs/Contended"}}};
const schema158 = {"title":"Leadership","description":"Who leads the log, as a replica knows it from the leader.","type":"object","required":["term","leader","voters"],"properties":{"term":{"$ref":"#/$defs/Count"},"leader":{"$ref":"#/$defs/Name"},"voters":{"type":"array","items":{"$ref":"#/$defs/Name"}}}};

function validate121(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate121.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.term === undefined) && (missing0 = "term")) || ((data.leader === undefined) && (missing0 = "leader"))) || ((data.voters === undefined) && (missing0 = "voters"))){
validate121.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema158.required,parentSchema:schema158,data}];
return false;
}
else {
if(data.term !== undefined){
let data0 = data.term;
const _errs1 = errors;
const _errs2 = errors;
if(!(((typeof data0 == "number") && (!(data0 % 1) && !isNaN(data0))) && (isFinite(data0)))){
validate121.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data0}];
return false;
}
if(errors === _errs2){
if((typeof data0 == "number") && (isFinite(data0))){
if(data0 < 0 || isNaN(data0)){
validate121.errors = [{instancePath:instancePath+"/term",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data0}];
return false;
}
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.leader !== undefined){
let data1 = data.leader;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 256){
validate121.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate121.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate121.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.voters !== undefined){
let data2 = data.voters;
const _errs7 = errors;
if(errors === _errs7){
if(Array.isArray(data2)){
var valid3 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
const _errs9 = errors;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 256){
validate121.errors = [{instancePath:instancePath+"/voters/" + i0,schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate121.errors = [{instancePath:instancePath+"/voters/" + i0,schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate121.errors = [{instancePath:instancePath+"/voters/" + i0,schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid3 = _errs9 === errors;
if(!valid3){
break;
}
}
}
else {
validate121.errors = [{instancePath:instancePath+"/voters",schemaPath:"#/properties/voters/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema158.properties.voters.type,parentSchema:schema158.properties.voters,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate121.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema158.type,parentSchema:schema158,data}];
return false;
}
}
validate121.errors = vErrors;
return errors === 0;
}
validate121.evaluated = {"props":{"term":true,"leader":true,"voters":true},"dynamicProps":false,"dynamicItems":false};


function validate119(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate119.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.cores === undefined) && (missing0 = "cores"))) || ((data.hosts === undefined) && (missing0 = "hosts"))){
validate119.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema155.required,parentSchema:schema155,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate119.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema155.properties.type.type,parentSchema:schema155.properties.type,data:data0}];
return false;
}
if("hello" !== data0){
validate119.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "hello"},message:"must be equal to constant",schema:"hello",parentSchema:schema155.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data1 = data.dataCentre;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate119.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate119.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate119.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cores !== undefined){
let data2 = data.cores;
const _errs6 = errors;
if(errors === _errs6){
if(Array.isArray(data2)){
var valid2 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
const _errs8 = errors;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data3 === "string"){
if(data3.length > 256){
validate119.errors = [{instancePath:instancePath+"/cores/" + i0,schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate119.errors = [{instancePath:instancePath+"/cores/" + i0,schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate119.errors = [{instancePath:instancePath+"/cores/" + i0,schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid2 = _errs8 === errors;
if(!valid2){
break;
}
}
}
else {
validate119.errors = [{instancePath:instancePath+"/cores",schemaPath:"#/properties/cores/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema155.properties.cores.type,parentSchema:schema155.properties.cores,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.hosts !== undefined){
let data4 = data.hosts;
const _errs11 = errors;
if(errors === _errs11){
if(Array.isArray(data4)){
var valid4 = true;
const len1 = data4.length;
for(let i1=0; i1<len1; i1++){
const _errs13 = errors;
if(!(validate27(data4[i1], {instancePath:instancePath+"/hosts/" + i1,parentData:data4,parentDataProperty:i1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
var valid4 = _errs13 === errors;
if(!valid4){
break;
}
}
}
else {
validate119.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema155.properties.hosts.type,parentSchema:schema155.properties.hosts,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.leadership !== undefined){
const _errs14 = errors;
if(!(validate121(data.leadership, {instancePath:instancePath+"/leadership",parentData:data,parentDataProperty:"leadership",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate121.errors : vErrors.concat(validate121.errors);
errors = vErrors.length;
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limits !== undefined){
let data7 = data.limits;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data7)){
var valid5 = true;
const len2 = data7.length;
for(let i2=0; i2<len2; i2++){
const _errs17 = errors;
if(!(validate50(data7[i2], {instancePath:instancePath+"/limits/" + i2,parentData:data7,parentDataProperty:i2,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate50.errors : vErrors.concat(validate50.errors);
errors = vErrors.length;
}
var valid5 = _errs17 === errors;
if(!valid5){
break;
}
}
}
else {
validate119.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/properties/limits/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema155.properties.limits.type,parentSchema:schema155.properties.limits,data:data7}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slowness !== undefined){
const _errs18 = errors;
if(!(validate29(data.slowness, {instancePath:instancePath+"/slowness",parentData:data,parentDataProperty:"slowness",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate29.errors : vErrors.concat(validate29.errors);
errors = vErrors.length;
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.contended !== undefined){
const _errs19 = errors;
if(!(validate96(data.contended, {instancePath:instancePath+"/contended",parentData:data,parentDataProperty:"contended",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate96.errors : vErrors.concat(validate96.errors);
errors = vErrors.length;
}
var valid0 = _errs19 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate119.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema155.type,parentSchema:schema155,data}];
return false;
}
}
validate119.errors = vErrors;
return errors === 0;
}
validate119.evaluated = {"props":{"type":true,"dataCentre":true,"cores":true,"hosts":true,"leadership":true,"limits":true,"slowness":true,"contended":true},"dynamicProps":false,"dynamicItems":false};

const schema162 = {"title":"ReleaseNotice","description":"Results that nobody needs any more.","type":"object","required":["type","service","cell","handles"],"properties":{"type":{"type":"string","const":"release"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"handles":{"type":"array","items":{"type":"string"}}}};

function validate126(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate126.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.cell === undefined) && (missing0 = "cell"))) || ((data.handles === undefined) && (missing0 = "handles"))){
validate126.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema162.required,parentSchema:schema162,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate126.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema162.properties.type.type,parentSchema:schema162.properties.type,data:data0}];
return false;
}
if("release" !== data0){
validate126.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "release"},message:"must be equal to constant",schema:"release",parentSchema:schema162.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate126.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate126.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate126.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cell !== undefined){
let data2 = data.cell;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate126.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema61,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate126.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61,data:data2}];
return false;
}
}
}
else {
validate126.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.type,parentSchema:schema61,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.handles !== undefined){
let data3 = data.handles;
const _errs9 = errors;
if(errors === _errs9){
if(Array.isArray(data3)){
var valid3 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
let data4 = data3[i0];
const _errs11 = errors;
if(typeof data4 !== "string"){
validate126.errors = [{instancePath:instancePath+"/handles/" + i0,schemaPath:"#/properties/handles/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema162.properties.handles.items.type,parentSchema:schema162.properties.handles.items,data:data4}];
return false;
}
var valid3 = _errs11 === errors;
if(!valid3){
break;
}
}
}
else {
validate126.errors = [{instancePath:instancePath+"/handles",schemaPath:"#/properties/handles/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema162.properties.handles.type,parentSchema:schema162.properties.handles,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate126.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema162.type,parentSchema:schema162,data}];
return false;
}
}
validate126.errors = vErrors;
return errors === 0;
}
validate126.evaluated = {"props":{"type":true,"service":true,"cell":true,"handles":true},"dynamicProps":false,"dynamicItems":false};

const schema165 = {"title":"DropNotice","description":"A request that nobody waits for any more.","type":"object","required":["type","service","cell","request"],"properties":{"type":{"type":"string","const":"drop"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"}}};

function validate127(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate127.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.cell === undefined) && (missing0 = "cell"))) || ((data.request === undefined) && (missing0 = "request"))){
validate127.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema165.required,parentSchema:schema165,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate127.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema165.properties.type.type,parentSchema:schema165.properties.type,data:data0}];
return false;
}
if("drop" !== data0){
validate127.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "drop"},message:"must be equal to constant",schema:"drop",parentSchema:schema165.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate127.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate127.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate127.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cell !== undefined){
let data2 = data.cell;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate127.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema61,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate127.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61,data:data2}];
return false;
}
}
}
else {
validate127.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.type,parentSchema:schema61,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.request !== undefined){
let data3 = data.request;
const _errs9 = errors;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 256){
validate127.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate127.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate127.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate127.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema165.type,parentSchema:schema165,data}];
return false;
}
}
validate127.errors = vErrors;
return errors === 0;
}
validate127.evaluated = {"props":{"type":true,"service":true,"cell":true,"request":true},"dynamicProps":false,"dynamicItems":false};

const schema169 = {"title":"UseNotice","description":"What a host has engines do now, of those where it changed.","type":"object","required":["type","uses"],"properties":{"type":{"type":"string","const":"use"},"uses":{"type":"array","items":{"$ref":"#/$defs/EngineUse"}}}};
const schema170 = {"title":"EngineUse","type":"object","required":["engine","tokens","streams","read"],"properties":{"engine":{"description":"One incarnation of it; what was said of another is ignored.","type":"string","minLength":1,"maxLength":300},"tokens":{"description":"Prompt tokens sent there whose first event has not come.","type":"number","minimum":0},"streams":{"description":"Requests under way there.","type":"integer","minimum":0},"read":{"description":"Shared parts of prompts that were sent there since.","type":"array","items":{"type":"array","items":{"$ref":"#/$defs/PromptPart"}}},"firsts":{"description":"First events since, of prompts that another host placed.","type":"array","items":{"$ref":"#/$defs/FirstEvent"}},"verdicts":{"description":"How calls ended since, of prompts that another host placed.","type":"array","items":{"enum":["good","bad","full"]}},"gaps":{"description":"Mean gaps between events of streams that ended since, of prompts that\nanother host placed, relative to the mean gap of the service.\n","type":"array","items":{"type":"number","exclusiveMinimum":0}}}};
const schema171 = {"title":"FirstEvent","type":"object","required":["work","took"],"properties":{"work":{"$ref":"#/$defs/EngineWork"},"took":{"description":"Milliseconds from the call.","type":"number","minimum":0},"fetched":{"description":"Whether the engine fetched parts of the prompt from another one's\ncache; absent if not.\n","type":"boolean"}}};

function validate131(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate131.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.work === undefined) && (missing0 = "work")) || ((data.took === undefined) && (missing0 = "took"))){
validate131.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema171.required,parentSchema:schema171,data}];
return false;
}
else {
if(data.work !== undefined){
let data0 = data.work;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(data0 && typeof data0 == "object" && !Array.isArray(data0)){
let missing1;
if(((data0.tokens === undefined) && (missing1 = "tokens")) || ((data0.streams === undefined) && (missing1 = "streams"))){
validate131.errors = [{instancePath:instancePath+"/work",schemaPath:"#/$defs/EngineWork/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema140.required,parentSchema:schema140,data:data0}];
return false;
}
else {
if(data0.tokens !== undefined){
let data1 = data0.tokens;
const _errs4 = errors;
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate131.errors = [{instancePath:instancePath+"/work/tokens",schemaPath:"#/$defs/EngineWork/properties/tokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema140.properties.tokens,data:data1}];
return false;
}
}
else {
validate131.errors = [{instancePath:instancePath+"/work/tokens",schemaPath:"#/$defs/EngineWork/properties/tokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema140.properties.tokens.type,parentSchema:schema140.properties.tokens,data:data1}];
return false;
}
}
var valid2 = _errs4 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.streams !== undefined){
let data2 = data0.streams;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate131.errors = [{instancePath:instancePath+"/work/streams",schemaPath:"#/$defs/EngineWork/properties/streams/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema140.properties.streams,data:data2}];
return false;
}
}
else {
validate131.errors = [{instancePath:instancePath+"/work/streams",schemaPath:"#/$defs/EngineWork/properties/streams/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema140.properties.streams.type,parentSchema:schema140.properties.streams,data:data2}];
return false;
}
}
var valid2 = _errs6 === errors;
}
else {
var valid2 = true;
}
}
}
}
else {
validate131.errors = [{instancePath:instancePath+"/work",schemaPath:"#/$defs/EngineWork/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema140.type,parentSchema:schema140,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.took !== undefined){
let data3 = data.took;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate131.errors = [{instancePath:instancePath+"/took",schemaPath:"#/properties/took/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema171.properties.took,data:data3}];
return false;
}
}
else {
validate131.errors = [{instancePath:instancePath+"/took",schemaPath:"#/properties/took/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema171.properties.took.type,parentSchema:schema171.properties.took,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fetched !== undefined){
let data4 = data.fetched;
const _errs10 = errors;
if(typeof data4 !== "boolean"){
validate131.errors = [{instancePath:instancePath+"/fetched",schemaPath:"#/properties/fetched/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema171.properties.fetched.type,parentSchema:schema171.properties.fetched,data:data4}];
return false;
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate131.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema171.type,parentSchema:schema171,data}];
return false;
}
}
validate131.errors = vErrors;
return errors === 0;
}
validate131.evaluated = {"props":{"work":true,"took":true,"fetched":true},"dynamicProps":false,"dynamicItems":false};


function validate129(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate129.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.engine === undefined) && (missing0 = "engine")) || ((data.tokens === undefined) && (missing0 = "tokens"))) || ((data.streams === undefined) && (missing0 = "streams"))) || ((data.read === undefined) && (missing0 = "read"))){
validate129.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema170.required,parentSchema:schema170,data}];
return false;
}
else {
if(data.engine !== undefined){
let data0 = data.engine;
const _errs1 = errors;
if(errors === _errs1){
if(typeof data0 === "string"){
if(data0.length > 300){
validate129.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/properties/engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema170.properties.engine,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate129.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/properties/engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema170.properties.engine,data:data0}];
return false;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/engine",schemaPath:"#/properties/engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema170.properties.engine.type,parentSchema:schema170.properties.engine,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.tokens !== undefined){
let data1 = data.tokens;
const _errs3 = errors;
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate129.errors = [{instancePath:instancePath+"/tokens",schemaPath:"#/properties/tokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema170.properties.tokens,data:data1}];
return false;
}
}
else {
validate129.errors = [{instancePath:instancePath+"/tokens",schemaPath:"#/properties/tokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema170.properties.tokens.type,parentSchema:schema170.properties.tokens,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.streams !== undefined){
let data2 = data.streams;
const _errs5 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate129.errors = [{instancePath:instancePath+"/streams",schemaPath:"#/properties/streams/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema170.properties.streams.type,parentSchema:schema170.properties.streams,data:data2}];
return false;
}
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate129.errors = [{instancePath:instancePath+"/streams",schemaPath:"#/properties/streams/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema170.properties.streams,data:data2}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.read !== undefined){
let data3 = data.read;
const _errs7 = errors;
if(errors === _errs7){
if(Array.isArray(data3)){
var valid1 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
let data4 = data3[i0];
const _errs9 = errors;
if(errors === _errs9){
if(Array.isArray(data4)){
var valid2 = true;
const len1 = data4.length;
for(let i1=0; i1<len1; i1++){
const _errs11 = errors;
if(!(validate40(data4[i1], {instancePath:instancePath+"/read/" + i0+"/" + i1,parentData:data4,parentDataProperty:i1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate40.errors : vErrors.concat(validate40.errors);
errors = vErrors.length;
}
var valid2 = _errs11 === errors;
if(!valid2){
break;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/read/" + i0,schemaPath:"#/properties/read/items/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema170.properties.read.items.type,parentSchema:schema170.properties.read.items,data:data4}];
return false;
}
}
var valid1 = _errs9 === errors;
if(!valid1){
break;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/read",schemaPath:"#/properties/read/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema170.properties.read.type,parentSchema:schema170.properties.read,data:data3}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.firsts !== undefined){
let data6 = data.firsts;
const _errs12 = errors;
if(errors === _errs12){
if(Array.isArray(data6)){
var valid3 = true;
const len2 = data6.length;
for(let i2=0; i2<len2; i2++){
const _errs14 = errors;
if(!(validate131(data6[i2], {instancePath:instancePath+"/firsts/" + i2,parentData:data6,parentDataProperty:i2,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate131.errors : vErrors.concat(validate131.errors);
errors = vErrors.length;
}
var valid3 = _errs14 === errors;
if(!valid3){
break;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/firsts",schemaPath:"#/properties/firsts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema170.properties.firsts.type,parentSchema:schema170.properties.firsts,data:data6}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.verdicts !== undefined){
let data8 = data.verdicts;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data8)){
var valid4 = true;
const len3 = data8.length;
for(let i3=0; i3<len3; i3++){
let data9 = data8[i3];
const _errs17 = errors;
if(!(((data9 === "good") || (data9 === "bad")) || (data9 === "full"))){
validate129.errors = [{instancePath:instancePath+"/verdicts/" + i3,schemaPath:"#/properties/verdicts/items/enum",keyword:"enum",params:{allowedValues: schema170.properties.verdicts.items.enum},message:"must be equal to one of the allowed values",schema:schema170.properties.verdicts.items.enum,parentSchema:schema170.properties.verdicts.items,data:data9}];
return false;
}
var valid4 = _errs17 === errors;
if(!valid4){
break;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/verdicts",schemaPath:"#/properties/verdicts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema170.properties.verdicts.type,parentSchema:schema170.properties.verdicts,data:data8}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.gaps !== undefined){
let data10 = data.gaps;
const _errs18 = errors;
if(errors === _errs18){
if(Array.isArray(data10)){
var valid5 = true;
const len4 = data10.length;
for(let i4=0; i4<len4; i4++){
let data11 = data10[i4];
const _errs20 = errors;
if(errors === _errs20){
if((typeof data11 == "number") && (isFinite(data11))){
if(data11 <= 0 || isNaN(data11)){
validate129.errors = [{instancePath:instancePath+"/gaps/" + i4,schemaPath:"#/properties/gaps/items/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema170.properties.gaps.items,data:data11}];
return false;
}
}
else {
validate129.errors = [{instancePath:instancePath+"/gaps/" + i4,schemaPath:"#/properties/gaps/items/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema170.properties.gaps.items.type,parentSchema:schema170.properties.gaps.items,data:data11}];
return false;
}
}
var valid5 = _errs20 === errors;
if(!valid5){
break;
}
}
}
else {
validate129.errors = [{instancePath:instancePath+"/gaps",schemaPath:"#/properties/gaps/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema170.properties.gaps.type,parentSchema:schema170.properties.gaps,data:data10}];
return false;
}
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
else {
validate129.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema170.type,parentSchema:schema170,data}];
return false;
}
}
validate129.errors = vErrors;
return errors === 0;
}
validate129.evaluated = {"props":{"engine":true,"tokens":true,"streams":true,"read":true,"firsts":true,"verdicts":true,"gaps":true},"dynamicProps":false,"dynamicItems":false};


function validate128(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate128.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.uses === undefined) && (missing0 = "uses"))){
validate128.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema169.required,parentSchema:schema169,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate128.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema169.properties.type.type,parentSchema:schema169.properties.type,data:data0}];
return false;
}
if("use" !== data0){
validate128.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "use"},message:"must be equal to constant",schema:"use",parentSchema:schema169.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.uses !== undefined){
let data1 = data.uses;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate129(data1[i0], {instancePath:instancePath+"/uses/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate129.errors : vErrors.concat(validate129.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate128.errors = [{instancePath:instancePath+"/uses",schemaPath:"#/properties/uses/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema169.properties.uses.type,parentSchema:schema169.properties.uses,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate128.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema169.type,parentSchema:schema169,data}];
return false;
}
}
validate128.errors = vErrors;
return errors === 0;
}
validate128.evaluated = {"props":{"type":true,"uses":true},"dynamicProps":false,"dynamicItems":false};

const schema173 = {"title":"SuspectsNotice","description":"A core host knows these requests that may crash endpoints.","type":"object","required":["type","suspects"],"properties":{"type":{"type":"string","const":"suspects"},"suspects":{"type":"array","items":{"$ref":"#/$defs/Suspect"}}}};

function validate134(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate134.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.suspects === undefined) && (missing0 = "suspects"))){
validate134.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema173.required,parentSchema:schema173,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate134.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema173.properties.type.type,parentSchema:schema173.properties.type,data:data0}];
return false;
}
if("suspects" !== data0){
validate134.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "suspects"},message:"must be equal to constant",schema:"suspects",parentSchema:schema173.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.suspects !== undefined){
let data1 = data.suspects;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate44(data1[i0], {instancePath:instancePath+"/suspects/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate44.errors : vErrors.concat(validate44.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate134.errors = [{instancePath:instancePath+"/suspects",schemaPath:"#/properties/suspects/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema173.properties.suspects.type,parentSchema:schema173.properties.suspects,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate134.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema173.type,parentSchema:schema173,data}];
return false;
}
}
validate134.errors = vErrors;
return errors === 0;
}
validate134.evaluated = {"props":{"type":true,"suspects":true},"dynamicProps":false,"dynamicItems":false};

const schema174 = {"title":"LimitsNotice","description":"Tells a core host of rate limits that endpoints name.","type":"object","required":["type","limits"],"properties":{"type":{"type":"string","const":"limits"},"limits":{"type":"array","items":{"$ref":"#/$defs/EndpointLimit"}}}};

function validate136(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate136.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.limits === undefined) && (missing0 = "limits"))){
validate136.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema174.required,parentSchema:schema174,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate136.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema174.properties.type.type,parentSchema:schema174.properties.type,data:data0}];
return false;
}
if("limits" !== data0){
validate136.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "limits"},message:"must be equal to constant",schema:"limits",parentSchema:schema174.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limits !== undefined){
let data1 = data.limits;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate50(data1[i0], {instancePath:instancePath+"/limits/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate50.errors : vErrors.concat(validate50.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate136.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/properties/limits/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema174.properties.limits.type,parentSchema:schema174.properties.limits,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate136.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema174.type,parentSchema:schema174,data}];
return false;
}
}
validate136.errors = vErrors;
return errors === 0;
}
validate136.evaluated = {"props":{"type":true,"limits":true},"dynamicProps":false,"dynamicItems":false};

const schema175 = {"title":"SlotsNotice","description":"Tells a core host of this host's requests at an endpoint.","type":"object","required":["type","endpoint","inFlight"],"properties":{"type":{"type":"string","const":"slots"},"endpoint":{"$ref":"#/$defs/Engine"},"inFlight":{"type":"integer","minimum":0}}};

function validate138(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate138.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.endpoint === undefined) && (missing0 = "endpoint"))) || ((data.inFlight === undefined) && (missing0 = "inFlight"))){
validate138.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema175.required,parentSchema:schema175,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate138.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema175.properties.type.type,parentSchema:schema175.properties.type,data:data0}];
return false;
}
if("slots" !== data0){
validate138.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "slots"},message:"must be equal to constant",schema:"slots",parentSchema:schema175.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data1 = data.endpoint;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 300){
validate138.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate138.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data1}];
return false;
}
}
}
else {
validate138.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.inFlight !== undefined){
let data2 = data.inFlight;
const _errs6 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate138.errors = [{instancePath:instancePath+"/inFlight",schemaPath:"#/properties/inFlight/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema175.properties.inFlight.type,parentSchema:schema175.properties.inFlight,data:data2}];
return false;
}
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate138.errors = [{instancePath:instancePath+"/inFlight",schemaPath:"#/properties/inFlight/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema175.properties.inFlight,data:data2}];
return false;
}
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate138.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema175.type,parentSchema:schema175,data}];
return false;
}
}
validate138.errors = vErrors;
return errors === 0;
}
validate138.evaluated = {"props":{"type":true,"endpoint":true,"inFlight":true},"dynamicProps":false,"dynamicItems":false};


function validate118(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate118.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate118.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema154.required,parentSchema:schema154,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "hello"){
if(!(validate119(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate119.errors : vErrors.concat(validate119.errors);
errors = vErrors.length;
}
var props0 = {};
props0.type = true;
props0.dataCentre = true;
props0.cores = true;
props0.hosts = true;
props0.leadership = true;
props0.limits = true;
props0.slowness = true;
props0.contended = true;
}
else if(tag0 === "release"){
if(!(validate126(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate126.errors : vErrors.concat(validate126.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.cell = true;
props0.handles = true;
}
}
else if(tag0 === "drop"){
if(!(validate127(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate127.errors : vErrors.concat(validate127.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.cell = true;
props0.request = true;
}
}
else if(tag0 === "use"){
if(!(validate128(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate128.errors : vErrors.concat(validate128.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.uses = true;
}
}
else if(tag0 === "suspects"){
if(!(validate134(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate134.errors : vErrors.concat(validate134.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.suspects = true;
}
}
else if(tag0 === "lease-over"){
const _errs8 = errors;
if(errors === _errs8){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if(((data.type === undefined) && (missing1 = "type")) || ((data.fingerprint === undefined) && (missing1 = "fingerprint"))){
validate118.errors = [{instancePath,schemaPath:"#/$defs/LeaseOverNotice/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema177.required,parentSchema:schema177,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs10 = errors;
if(typeof data0 !== "string"){
validate118.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/LeaseOverNotice/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema177.properties.type.type,parentSchema:schema177.properties.type,data:data0}];
return false;
}
if("lease-over" !== data0){
validate118.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/LeaseOverNotice/properties/type/const",keyword:"const",params:{allowedValue: "lease-over"},message:"must be equal to constant",schema:"lease-over",parentSchema:schema177.properties.type,data:data0}];
return false;
}
var valid8 = _errs10 === errors;
}
else {
var valid8 = true;
}
if(valid8){
if(data.fingerprint !== undefined){
let data1 = data.fingerprint;
const _errs12 = errors;
if(errors === _errs12){
if(typeof data1 === "string"){
if(data1.length > 64){
validate118.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/$defs/LeaseOverNotice/properties/fingerprint/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema177.properties.fingerprint,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate118.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/$defs/LeaseOverNotice/properties/fingerprint/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema177.properties.fingerprint,data:data1}];
return false;
}
}
}
else {
validate118.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/$defs/LeaseOverNotice/properties/fingerprint/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema177.properties.fingerprint.type,parentSchema:schema177.properties.fingerprint,data:data1}];
return false;
}
}
var valid8 = _errs12 === errors;
}
else {
var valid8 = true;
}
if(valid8){
if(data.unused !== undefined){
let data2 = data.unused;
const _errs14 = errors;
if(typeof data2 !== "boolean"){
validate118.errors = [{instancePath:instancePath+"/unused",schemaPath:"#/$defs/LeaseOverNotice/properties/unused/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema177.properties.unused.type,parentSchema:schema177.properties.unused,data:data2}];
return false;
}
var valid8 = _errs14 === errors;
}
else {
var valid8 = true;
}
}
}
}
}
else {
validate118.errors = [{instancePath,schemaPath:"#/$defs/LeaseOverNotice/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema177.type,parentSchema:schema177,data}];
return false;
}
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.fingerprint = true;
props0.unused = true;
}
}
else if(tag0 === "limits"){
if(!(validate136(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate136.errors : vErrors.concat(validate136.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.limits = true;
}
}
else if(tag0 === "slots"){
if(!(validate138(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate138.errors : vErrors.concat(validate138.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.endpoint = true;
props0.inFlight = true;
}
}
else {
validate118.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema154.discriminator,parentSchema:schema154,data}];
return false;
}
}
else {
validate118.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema154.discriminator,parentSchema:schema154,data}];
return false;
}
}
}
else {
validate118.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema154.type,parentSchema:schema154,data}];
return false;
}
}
validate118.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate118.evaluated = {"dynamicProps":true,"dynamicItems":false};


function validate117(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate117.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.body === undefined) && (missing0 = "body"))){
validate117.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema153.required,parentSchema:schema153,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate117.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema153.properties.type.type,parentSchema:schema153.properties.type,data:data0}];
return false;
}
if("cast" !== data0){
validate117.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "cast"},message:"must be equal to constant",schema:"cast",parentSchema:schema153.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.body !== undefined){
const _errs3 = errors;
if(!(validate118(data.body, {instancePath:instancePath+"/body",parentData:data,parentDataProperty:"body",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate118.errors : vErrors.concat(validate118.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate117.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema153.type,parentSchema:schema153,data}];
return false;
}
}
validate117.errors = vErrors;
return errors === 0;
}
validate117.evaluated = {"props":{"type":true,"body":true},"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "ask"){
if(!(validate21(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var props0 = {};
props0.type = true;
props0.id = true;
props0.body = true;
}
else if(tag0 === "answer"){
if(!(validate80(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate80.errors : vErrors.concat(validate80.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.id = true;
props0.body = true;
}
}
else if(tag0 === "working"){
if(!(validate116(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate116.errors : vErrors.concat(validate116.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.ids = true;
}
}
else if(tag0 === "cast"){
if(!(validate117(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate117.errors : vErrors.concat(validate117.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.body = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

